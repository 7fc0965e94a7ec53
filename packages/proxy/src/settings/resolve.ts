import * as fs from 'node:fs';
import * as runtime from '@figshed/runtime';
import * as schema from './schema.js';

type Environment = Readonly<Record<string, string | undefined>>;

function overrideFleetKey(value: unknown, environment: Environment): unknown {
  const fleetKey = environment.FIGSHED_FLEET_KEY;
  if (fleetKey === undefined || value === null || typeof value !== 'object') return value;
  return { ...value, fleetKey };
}

/**
 * Reads and validates a settings file and applies the defaults; called once, at the start of the
 * program. `FIGSHED_FLEET_KEY` in the environment replaces the fleet key of the file.
 *
 * @throws DocumentError with all findings and their positions in the file.
 * @example
 * const settings = resolveSettings('proxy.jsonc', process.env);
 */
export function resolveSettings(file: string, environment: Environment): schema.Settings {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (error) {
    const message = `cannot be read: ${(error as NodeJS.ErrnoException).code}`;
    throw new runtime.DocumentError([{ file, line: 1, column: 1, path: '', message }]);
  }
  const document = runtime.parseDocument(file, text);
  const isParsed = document.findings.length === 0;
  const settings = isParsed
    ? runtime.validateValue(
        document,
        [],
        schema.settingsSchema,
        overrideFleetKey(document.value, environment),
      )
    : undefined;
  if (!settings || document.findings.length > 0) throw new runtime.DocumentError(document.findings);
  return settings;
}
