/** Logger that writes each event as one line of key=value pairs. */
import * as tslog from 'tslog';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of one event; fields with the value undefined are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

export type Logger = Record<LogLevel, (event: string, fields?: LogFields) => void> & {
  /** Writes the buffered lines immediately. */
  flush(): void;
  /** Whether events of the level are written. */
  isEnabled(level: LogLevel): boolean;
};

const tslogLevels: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5 };
const FLUSH_INTERVAL_MS = 100;
const MAX_VALUE_LENGTH = 1_000;
const UNQUOTED_VALUE = /^[\w./:,;+@|-]+$/;
const LINE_SEPARATORS = /[\u0085\u2028\u2029]/g;

function escapeSeparator(char: string): string {
  return `\\u${char.charCodeAt(0).toString(16).padStart(4, '0')}`;
}

/**
 * Formats one value of a log line. The result never contains a line break; values with characters
 * outside a safe set are quoted, and values are truncated to 1,000 characters.
 *
 * @example
 * formatLogValue('two words'); // '"two words"'
 */
export function formatLogValue(value: string | number | boolean | null): string {
  const text = String(value).slice(0, MAX_VALUE_LENGTH);
  if (UNQUOTED_VALUE.test(text)) return text;
  return JSON.stringify(text).replaceAll(LINE_SEPARATORS, escapeSeparator);
}

/**
 * Formats one event as a line, without the trailing line break. `at` is in milliseconds since the
 * Unix epoch.
 *
 * @example
 * formatLogLine(0, 'info', 'start', { node: 'n1' }); // 'time=1970-01-01T00:00:00.000Z level=info event=start node=n1'
 */
export function formatLogLine(
  at: number,
  level: LogLevel,
  event: string,
  fields: LogFields = {},
): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatLogValue(value as string)}`);
  const time = new Date(at).toISOString();
  return [`time=${time}`, `level=${level}`, `event=${event}`, ...pairs].join(' ');
}

export interface LoggerOptions {
  /** Lowest level that is written. */
  level: LogLevel;
  /** Fields that are added to every event. */
  commonFields: LogFields;
  /** Returns the wall-clock time, in milliseconds since the Unix epoch. */
  now: () => number;
  write: (text: string) => void;
}

/**
 * Creates a logger that buffers lines and writes them in batches.
 *
 * @example
 * const log = createLogger({ level: 'info', commonFields: { node: 'n1' }, now: Date.now, write });
 */
export function createLogger(options: LoggerOptions): Logger {
  let lines: string[] = [];
  let timer: NodeJS.Timeout | undefined;
  const flush = (): void => {
    clearTimeout(timer);
    timer = undefined;
    if (lines.length === 0) return;
    const text = `${lines.join('\n')}\n`;
    lines = [];
    options.write(text);
  };
  const minLevel = tslogLevels[options.level];
  const logger = new tslog.Logger<unknown>({
    type: 'hidden',
    minLevel,
    hideLogPositionForProduction: true,
    overwrite: {
      mask: (args) => args,
      toLogObj: (args) => ({ line: args[0] }),
      addMeta: (logObj) => logObj as never,
    },
    attachedTransports: [
      (logObj) => {
        lines.push((logObj as unknown as { line: string }).line);
        timer ??= setTimeout(flush, FLUSH_INTERVAL_MS).unref();
      },
    ],
  });
  const logEvent = (level: LogLevel, event: string, fields?: LogFields): void => {
    if (tslogLevels[level] < minLevel) return;
    const line = formatLogLine(options.now(), level, event, { ...options.commonFields, ...fields });
    logger.log(tslogLevels[level], level, line);
  };
  return {
    debug: (event, fields) => logEvent('debug', event, fields),
    info: (event, fields) => logEvent('info', event, fields),
    warn: (event, fields) => logEvent('warn', event, fields),
    error: (event, fields) => logEvent('error', event, fields),
    flush,
    isEnabled: (level) => tslogLevels[level] >= minLevel,
  };
}
