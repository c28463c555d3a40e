/** Runs one of the project's programs with its command of the deploy file. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** The `run` lines of `deploy/system.toml`. */
const COMMANDS = {
  gateway: ['--max-old-space-size=96', '--max-semi-space-size=1', 'target/gateway.cjs'],
  'rank-agent': ['--max-old-space-size=64', '--max-semi-space-size=1', 'target/rank-agent.cjs'],
};

export default class Program {
  #child;

  constructor({ role, settings, folder }) {
    this.name = settings.processName;
    this.role = role;
    this.file = join(folder, `${this.name}.jsonc`);
    this.log = createWriteStream(join(folder, `${this.name}.log`));
  }

  /** Writes the settings and starts the process. */
  static async create(options) {
    const program = new Program(options);
    await writeFile(program.file, JSON.stringify(options.settings));
    program.start();
    return program;
  }

  get isRunning() {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  get exit() {
    return this.#child.exitCode ?? this.#child.signalCode;
  }

  get pid() {
    return this.#child.pid;
  }

  start() {
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(process.execPath, COMMANDS[this.role], {
      cwd: ROOT,
      env: { PATH, HOME, LANG, EBONYSILL_NODE_FILE: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child.stdout.pipe(this.log, { end: false });
    this.#child.stderr.pipe(this.log, { end: false });
  }

  signal(name) {
    if (this.isRunning) {
      this.#child.kill(name);
    }
  }

  /** Ends the process with a signal and waits for its exit. */
  async end(name) {
    if (this.isRunning) {
      const exited = once(this.#child, 'exit');
      this.signal(name);
      await exited;
    }
  }

  async close() {
    this.signal('SIGCONT');
    await this.end('SIGKILL');
    this.log.end();
  }
}
