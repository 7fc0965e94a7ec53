/** Starts the child processes of the runners and kills them when the runner exits. */
import * as childProcess from 'node:child_process';

export interface ChildHandle {
  name: string;
  pid: number;
  readonly outputLines: string[];
  /** Resolves with the first output line that matches, including lines printed earlier. */
  waitForLine(pattern: RegExp, timeoutMs: number): Promise<string>;
  onLine(handler: (line: string) => void): void;
  sendSignal(signalName: NodeJS.Signals): void;
  isRunning(): boolean;
  /** Resolves with the exit code, or with the name of the signal that ended the process. */
  exited: Promise<string>;
}

const MAX_LINES = 200_000;
const runningChildren = new Set<childProcess.ChildProcess>();

function killChildren(): void {
  runningChildren.forEach((child) => child.kill('SIGKILL'));
}

process.once('exit', killChildren);
['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => process.exit(1)));

/**
 * Starts a Node.js script as a child process.
 *
 * @example
 * const child = startChild('log', scriptPath, ['{}'], {});
 */
export function startChild(
  name: string,
  script: string,
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): ChildHandle {
  const child = childProcess.spawn(process.execPath, ['--max-semi-space-size=4', script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  });
  runningChildren.add(child);
  const lines: string[] = [];
  const lineHandlers = new Set<(line: string) => void>();
  let unparsedChunks: string[] = [];
  let partialLine = '';
  /** Splits new output into lines; deferred while there are no handlers, to save CPU time. */
  const parseOutput = (): string[] => {
    const newLines = `${partialLine}${unparsedChunks.join('')}`.split('\n');
    unparsedChunks = [];
    partialLine = newLines.pop() ?? '';
    lines.push(...newLines);
    if (lines.length > MAX_LINES) lines.splice(0, lines.length - MAX_LINES);
    newLines.forEach((line) => [...lineHandlers].forEach((handler) => handler(line)));
    return lines;
  };
  [child.stdout, child.stderr].forEach((stream) =>
    stream.setEncoding('utf8').on('data', (text: string) => {
      unparsedChunks.push(text);
      if (lineHandlers.size > 0) parseOutput();
    }),
  );
  let isRunning = true;
  const exited = new Promise<string>((resolve) => {
    child.once('exit', (code, signal) => {
      isRunning = false;
      runningChildren.delete(child);
      resolve(String(code ?? signal));
    });
  });
  return {
    name,
    pid: child.pid ?? -1,
    get outputLines() {
      return parseOutput();
    },
    exited,
    isRunning: () => isRunning,
    onLine: (handler) => lineHandlers.add(handler),
    sendSignal: (signal) => child.kill(signal),
    async waitForLine(pattern, timeoutMs) {
      const earlierLine = parseOutput().find((line) => pattern.test(line));
      if (earlierLine !== undefined) return earlierLine;
      return new Promise((resolve, reject) => {
        const timeout: { timer?: NodeJS.Timeout } = {};
        const checkLine = (line: string): void => {
          if (!pattern.test(line)) return;
          clearTimeout(timeout.timer);
          lineHandlers.delete(checkLine);
          resolve(line);
        };
        lineHandlers.add(checkLine);
        timeout.timer = setTimeout(() => {
          lineHandlers.delete(checkLine);
          const lastLines = lines.slice(-5).join('\n');
          reject(
            new Error(
              `${name} printed no line matching ${String(pattern)} within ${timeoutMs} ms\n${lastLines}`,
            ),
          );
        }, timeoutMs);
      });
    },
  };
}
