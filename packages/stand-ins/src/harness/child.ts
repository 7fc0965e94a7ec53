/** Child processes of the runners: started, watched, and ended by their own id. */
import * as childProcess from 'node:child_process';

/** One child process. */
export interface Child {
  name: string;
  pid: number;
  readonly lines: string[];
  /** Resolves with the first line that matches, past lines included. */
  waitForLine(pattern: RegExp, timeoutMs: number): Promise<string>;
  onLine(handler: (line: string) => void): void;
  signal(signal: NodeJS.Signals): void;
  isRunning(): boolean;
  /** Resolves with the exit code, or the signal's name. */
  exited: Promise<string>;
}

const MAX_LINES = 200_000;
const children = new Set<childProcess.ChildProcess>();

function killAll(): void {
  children.forEach((child) => child.kill('SIGKILL'));
}

process.once('exit', killAll);
['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(1)));

/**
 * Starts a Node.js script.
 *
 * @example
 * const child = startChild('log', scriptPath, ['{}'], {});
 */
export function startChild(
  name: string,
  script: string,
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): Child {
  const child = childProcess.spawn(process.execPath, ['--max-semi-space-size=4', script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  });
  children.add(child);
  const lines: string[] = [];
  const handlers = new Set<(line: string) => void>();
  let unread: string[] = [];
  let partial = '';
  /** Splits what was printed; put off while nobody looks, so that runners spend little on it. */
  const readLines = (): string[] => {
    const fresh = `${partial}${unread.join('')}`.split('\n');
    unread = [];
    partial = fresh.pop() ?? '';
    lines.push(...fresh);
    if (lines.length > MAX_LINES) lines.splice(0, lines.length - MAX_LINES);
    fresh.forEach((line) => [...handlers].forEach((handler) => handler(line)));
    return lines;
  };
  [child.stdout, child.stderr].forEach((stream) =>
    stream.setEncoding('utf8').on('data', (text: string) => {
      unread.push(text);
      if (handlers.size > 0) readLines();
    }),
  );
  let isRunning = true;
  const exited = new Promise<string>((resolve) => {
    child.once('exit', (code, signal) => {
      isRunning = false;
      children.delete(child);
      resolve(String(code ?? signal));
    });
  });
  return {
    name,
    pid: child.pid ?? -1,
    get lines() {
      return readLines();
    },
    exited,
    isRunning: () => isRunning,
    onLine: (handler) => handlers.add(handler),
    signal: (signal) => child.kill(signal),
    async waitForLine(pattern, timeoutMs) {
      const known = readLines().find((line) => pattern.test(line));
      if (known !== undefined) return known;
      return new Promise((resolve, reject) => {
        const watch: { timer?: NodeJS.Timeout } = {};
        const handler = (line: string): void => {
          if (!pattern.test(line)) return;
          clearTimeout(watch.timer);
          handlers.delete(handler);
          resolve(line);
        };
        handlers.add(handler);
        watch.timer = setTimeout(() => {
          handlers.delete(handler);
          const tail = lines.slice(-5).join('\n');
          reject(new Error(`${name} printed no ${String(pattern)} in ${timeoutMs} ms\n${tail}`));
        }, timeoutMs);
      });
    },
  };
}
