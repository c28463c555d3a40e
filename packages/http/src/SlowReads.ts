/** @module Reads the connections that bring many small chunks one at a time. */

/** A connection that waits for its next read. */
export interface SlowRead {
  /** Framing beyond the payload so far. */
  readonly excessBytes: number;
  /** Reads one block. */
  readonly resume: () => void;
}

/** Interval of the reads: one takes about a millisecond of processor time. */
const READ_INTERVAL_MS = 10;

/**
 * Lets one connection of all read a block at a time. Every other read is of the one with most excess, so
 * that an answer without end soon fails; the rest are in order, so that sound answers go on beside it.
 */
export default class SlowReads {
  readonly #waiting = new Map<object, SlowRead>();

  #isRunning = false;

  #isLargestNext = true;

  private constructor(private readonly schedule: (fn: () => void, delayMs: number) => void) {}

  /**
   * Creates a record without connections; `schedule` calls a function after a time.
   *
   * @example
   * SlowReads.create().add(socket, { excessBytes: 4_096, resume: () => socket.resume() });
   */
  static create(
    schedule: (fn: () => void, delayMs: number) => void = (fn, delayMs) => {
      setTimeout(fn, delayMs);
    },
  ): SlowReads {
    return new SlowReads(schedule);
  }

  /** Resumes a connection when it is its turn. */
  add(connection: object, read: SlowRead): void {
    this.#waiting.set(connection, read);
    this.#run();
  }

  /** Forgets a connection that has closed. */
  remove(connection: object): void {
    this.#waiting.delete(connection);
  }

  #run(): void {
    if (!this.#isRunning && this.#waiting.size > 0) {
      this.#isRunning = true;
      this.schedule(() => this.#resumeNext(), READ_INTERVAL_MS);
    }
  }

  #resumeNext(): void {
    this.#isRunning = false;
    const next = this.#isLargestNext ? this.#largest() : [...this.#waiting][0];
    this.#isLargestNext = !this.#isLargestNext;
    if (next !== undefined) {
      const [connection, { resume }] = next;
      this.#waiting.delete(connection);
      resume();
    }
    this.#run();
  }

  #largest(): [object, SlowRead] | undefined {
    return [...this.#waiting].reduce<[object, SlowRead] | undefined>(
      (largest, entry) =>
        largest === undefined || entry[1].excessBytes > largest[1].excessBytes ? entry : largest,
      undefined,
    );
  }
}
