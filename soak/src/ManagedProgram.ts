/** @module Runs a program as a child process, signals it and restarts it when it exits. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, type WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { SETTINGS_VARIABLE } from '@ebonysill/platform/stand-ins';

export interface ManagedProgramOptions {
  readonly name: string;
  /** Path of the script that Node.js runs. */
  readonly file: string;
  readonly settings: object;
  /** Folder of the settings file and the log file, both named after the program. */
  readonly folder: string;
  /** Called when the process exits with a non-zero code, but not when a signal kills it. */
  readonly onUnexpectedExit: (detail: string) => void;
}

/** Delay between the exit of a process and its restart. */
const RESTART_DELAY_MS = 300;

/** Restarts the process after every exit until it is closed. */
export default class ManagedProgram {
  #child: ChildProcess | undefined;

  #isClosed = false;

  readonly #log: WriteStream;

  private constructor(private readonly options: ManagedProgramOptions) {
    this.#log = createWriteStream(join(options.folder, `${options.name}.log`));
  }

  /**
   * Writes the settings and starts the process.
   *
   * @example
   * const gateway = await ManagedProgram.create({ name: 'gateway-1', file, settings, folder });
   */
  static async create(options: ManagedProgramOptions): Promise<ManagedProgram> {
    const program = new ManagedProgram(options);
    await writeFile(program.#settingsFile, JSON.stringify(options.settings));
    program.#start();
    return program;
  }

  get name(): string {
    return this.options.name;
  }

  /** Id of the latest process; changes with each restart. */
  get processId(): number | undefined {
    return this.#child?.pid;
  }

  /** Sends a signal to the process; does nothing if it has exited. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /**
   * Writes the settings file with a comment line in front, so that its text differs from that of
   * the first version, and sends SIGHUP, so that the process reads it again.
   */
  async reload(settings: object): Promise<void> {
    await writeFile(this.#settingsFile, `// written again\n${JSON.stringify(settings)}`);
    this.signal('SIGHUP');
  }

  /**
   * Kills the process, even if SIGSTOP has paused it, and does not restart it; resolves on its
   * exit.
   */
  async close(): Promise<void> {
    this.#isClosed = true;
    const child = this.#child;
    if (child !== undefined && child.exitCode === null && child.signalCode === null) {
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await ended;
    }
    this.#log.end();
  }

  get #settingsFile(): string {
    return join(this.options.folder, `${this.options.name}.jsonc`);
  }

  #start(): void {
    const { file, name, onUnexpectedExit } = this.options;
    const child = spawn(process.execPath, [file], {
      env: { ...process.env, [SETTINGS_VARIABLE]: this.#settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    child.stdout.pipe(this.#log, { end: false });
    child.stderr.pipe(this.#log, { end: false });
    child.once('exit', (code, signal) => {
      if (code !== 0 && signal === null) {
        onUnexpectedExit(`${name} ended by itself with code ${code}`);
      }
      setTimeout(() => {
        if (!this.#isClosed) {
          this.#start();
        }
      }, RESTART_DELAY_MS);
    });
  }
}
