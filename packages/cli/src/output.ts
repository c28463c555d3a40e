/** @module Output and exit codes of the command line. */

/** Exit codes: after sysexits, and for `config check` those of linters. */
export enum ExitCode {
  Ok = 0,
  /** `config check` found errors or warnings. */
  Findings = 1,
  /** `config check` was called wrongly, or could not read or parse a file. */
  NotChecked = 2,
  /** Invalid arguments. */
  Usage = 64,
  /** A file that cannot be read. */
  NoInput = 66,
  /** A process that does not answer. */
  Unavailable = 69,
  /** Invalid answers or configuration. */
  Configuration = 78,
}

/**
 * Writes text to standard output; adds no line break.
 *
 * @example
 * print('done\n');
 */
export const print = (text: string): void => {
  process.stdout.write(text);
};

/**
 * Writes messages to standard error, one line each, and sets the exit code; the program continues.
 *
 * @example
 * reportFailure(ExitCode.NoInput, ['answers.jsonc: the file cannot be read']);
 */
export const reportFailure = (code: ExitCode, lines: readonly string[]): void => {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = code;
};
