/** @module The record of a case: what was sent, answered and run, in the order of time. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Collects the lines of `record.txt`. */
export default class CaseRecord {
  #lines = [];

  #startedAtMs = performance.now();

  line(text, atMs = performance.now()) {
    this.#lines.push({ atMs, text });
  }

  async write(folder) {
    const lines = [...this.#lines]
      .sort((left, right) => left.atMs - right.atMs)
      .map(({ atMs, text }) => `${((atMs - this.#startedAtMs) / 1_000).toFixed(3)} ${text}`);
    await writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  }
}
