/** @module Counts events in a sliding window. */

/** Buckets per window; the count covers at most one bucket more than the window, and never less. */
const BUCKET_COUNT = 10;

interface Bucket {
  readonly index: number;
  count: number;
}

/** Counts the events of the last `windowMs`. */
export default class SlidingCounter {
  readonly #buckets: Bucket[] = [];

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

  /** Counts events that happen now. */
  add(count = 1): void {
    const index = this.#currentIndex();
    const last = this.#buckets.at(-1);
    if (last?.index === index) {
      last.count += count;
    } else {
      this.#buckets.push({ index, count });
    }
  }

  /** The count of the window that ends now. */
  count(): number {
    const oldest = this.#currentIndex() - BUCKET_COUNT;
    while (this.#buckets[0] !== undefined && this.#buckets[0].index < oldest) {
      this.#buckets.shift();
    }
    return this.#buckets.reduce((sum, { count }) => sum + count, 0);
  }

  #currentIndex(): number {
    return Math.floor((this.nowMs() * BUCKET_COUNT) / this.windowMs);
  }
}
