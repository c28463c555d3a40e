/** @module Starts one program as a child process and waits until it listens. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';

/** A program that is running. */
export interface Program {
  readonly child: ChildProcess;
  /** The line with which it told its addresses. */
  readonly listening: string;
  /** Lines that it has printed. */
  readonly lines: readonly string[];
  /** Resolves with the exit code; null after a signal. */
  readonly exited: Promise<number | null>;
}

const require = createRequire(import.meta.url);

/**
 * Path of a program of one of the workspace's packages.
 *
 * @example
 * programPath('binaries', 'entry');
 */
export const programPath = (packageName: string, program: string): string =>
  join(dirname(require.resolve(`@ebonysill/${packageName}`)), 'bin', `${program}.js`);

/**
 * Starts a program; resolves when it prints that it listens.
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
    child.once('exit', (code) => reject(new Error(`${path} ended early with code ${code}`)));
  });
};

/** What a program that ran to its end printed. */
export interface ProgramResult {
  readonly output: string;
  readonly errors: string;
  readonly exitCode: number | null;
}

/**
 * Runs a program to its end.
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
