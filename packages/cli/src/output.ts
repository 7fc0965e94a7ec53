/** Output of a command: text lines, or one JSON value with `--json`. */
export interface Output {
  /** Prints a text line; prints nothing with `--json`. */
  print(line: string): void;
  /** Prints the result: the text, or the value as JSON with `--json`. */
  printResult(text: string, value: unknown): void;
}

/**
 * Creates the output of a command.
 *
 * @example
 * createOutput(false).printResult('version 7', { version: 7 });
 */
export function createOutput(isJson: boolean): Output {
  const write = (line: string): void => {
    process.stdout.write(`${line}\n`);
  };
  return {
    print(line) {
      if (!isJson) write(line);
    },
    printResult(text, value) {
      write(isJson ? JSON.stringify(value) : text);
    },
  };
}
