/** @module Runs programs of the workspace as child processes. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';

/** A child process that has started to listen. */
export interface Program {
  readonly child: ChildProcess;
  /** Line of its output that contains its addresses. */
  readonly listening: string;
  /** Lines of its standard output so far. */
  readonly lines: readonly string[];
  /** Resolves with the exit code; null after a signal. */
  readonly exited: Promise<number | null>;
}

const require = createRequire(import.meta.url);

/**
 * Path of a compiled program in a package of the workspace.
 *
 * @example
 * programPath('binaries', 'entry');
 */
export const programPath = (packageName: string, program: string): string =>
  join(dirname(require.resolve(`@ebonysill/${packageName}`)), 'bin', `${program}.js`);

/**
 * Starts a program; resolves when it prints that it listens, rejects if it exits before that.
 *
 * @example
 * const engine = await spawnProgram(programPath('stand-ins', 'engine'), ['--port', '0']);
 */
export const spawnProgram = (path: string, args: readonly string[]): Promise<Program> => {
  const child = spawn(process.execPath, [path, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines: string[] = [];
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  return new Promise((resolve, reject) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(line);
      if (line.includes('listening')) {
        resolve({ child, listening: line, lines, exited });
      }
    });
    child.once('error', reject);
    child.once('exit', (code) =>
      reject(new Error(`${path} exited with code ${code} before it listened`)),
    );
  });
};

/** Output and exit code of a program that has exited; the code is null after a signal. */
export interface ProgramResult {
  readonly output: string;
  readonly errors: string;
  readonly exitCode: number | null;
}

/**
 * Runs a program until it exits; does not reject on a non-zero exit code.
 *
 * @example
 * const { output } = await runProgram(programPath('cli', 'ebonysill'), ['status', '--help']);
 */
export const runProgram = (path: string, args: readonly string[]): Promise<ProgramResult> => {
  const child = spawn(process.execPath, [path, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  let output = '';
  let errors = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString('utf8');
  });
  child.stderr.on('data', (bytes: Buffer) => {
    errors += bytes.toString('utf8');
  });
  return new Promise((resolve) => {
    child.once('close', (exitCode) => resolve({ output, errors, exitCode }));
  });
};
