/** Prints results for people, or as one JSON value for scripts. */

/** Where a command writes. */
export interface Output {
  /** Prints a line for people; silent with `--json`. */
  print(line: string): void;
  /** Prints the result of the command: text for people, or the value as JSON. */
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
