/** @module Counts what happened in a sliding window. */

/** Parts into which a window is divided; the count errs by one part at most, on the safe side. */
const PART_COUNT = 10;

interface Part {
  readonly index: number;
  count: number;
}

/** Counts events of the last `windowMs`. */
export default class SlidingCounter {
  readonly #parts: Part[] = [];

  private constructor(
    private readonly windowMs: number,
    private readonly nowMs: () => number,
  ) {}

  /**
   * Creates a counter without counts.
   *
   * @example
   * const counter = SlidingCounter.create(10_000, runtime.nowMs);
   */
  static create(windowMs: number, nowMs: () => number): SlidingCounter {
    return new SlidingCounter(windowMs, nowMs);
  }

  /** Counts one. */
  add(): void {
    const index = this.#indexNow();
    const last = this.#parts.at(-1);
    if (last?.index === index) {
      last.count += 1;
    } else {
      this.#parts.push({ index, count: 1 });
    }
  }

  /** The count of the window that ends now. */
  count(): number {
    const oldest = this.#indexNow() - PART_COUNT;
    while (this.#parts[0] !== undefined && this.#parts[0].index < oldest) {
      this.#parts.shift();
    }
    return this.#parts.reduce((sum, { count }) => sum + count, 0);
  }

  #indexNow(): number {
    return Math.floor((this.nowMs() * PART_COUNT) / this.windowMs);
  }
}
