/** @module One program as a process that is signalled and started again. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, type WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { SETTINGS_VARIABLE } from '@ebonysill/platform/stand-ins';

/** What a program is created from. */
export interface ManagedProgramOptions {
  readonly name: string;
  /** File of the program. */
  readonly file: string;
  readonly settings: object;
  /** Folder for settings and logs. */
  readonly folder: string;
  /** Called when the process ended with neither a signal of ours nor an orderly stop. */
  readonly onUnexpectedExit: (detail: string) => void;
}

/** Pause before a process that ended is started again. */
const RESTART_DELAY_MS = 300;

/** Keeps one program running. */
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

  /** Identifier of the present process; another one after a restart. */
  get processId(): number | undefined {
    return this.#child?.pid;
  }

  /** Sends a signal to the process, if it runs. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Writes settings anew and tells the process. */
  async reload(settings: object): Promise<void> {
    await writeFile(this.#settingsFile, `// written again\n${JSON.stringify(settings)}`);
    this.signal('SIGHUP');
  }

  /** Ends the process for good. */
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
