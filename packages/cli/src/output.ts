/** @module Output and exit codes of the command line. */

/** Exit codes, after sysexits. */
export enum ExitCode {
  Ok = 0,
  /** Arguments that make no sense. */
  Usage = 64,
  /** A file that cannot be read. */
  NoInput = 66,
  /** A process that does not answer. */
  Unavailable = 69,
  /** Settings, answers or a configuration that are refused. */
  Configuration = 78,
}

/**
 * Prints text for people or programs.
 *
 * @example
 * print('done\n');
 */
export const print = (text: string): void => {
  process.stdout.write(text);
};

/**
 * Prints complaints, one line each, and sets the exit code.
 *
 * @example
 * reportFailure(ExitCode.NoInput, ['answers.jsonc: the file cannot be read']);
 */
export const reportFailure = (code: ExitCode, lines: readonly string[]): void => {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = code;
};
