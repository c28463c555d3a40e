/** @module Token bucket for the requests that all gateways together send to one target. */

const MS_PER_SECOND = 1_000;

/** Time in which a bucket collects the requests that may be sent at once. */
const BURST_MS = 500;

/** One request, and room for the random part of what a gateway waits for. */
const MIN_CAPACITY = 2;

/** Debt as a multiple of the capacity; bounds the pause after requests of unaware gateways. */
const MAX_DEBT_FACTOR = 2;

/**
 * Refills at a rate. Requests that were sent regardless of the bucket put it into debt, which delays
 * the next ones, so that the rate holds in the long run.
 */
export default class RateBucket {
  #tokens = 0;

  #updatedAtMs: number;

  private constructor(
    private readonly ratePerSecond: number,
    private readonly nowMs: () => number,
  ) {
    this.#updatedAtMs = nowMs();
  }

  /**
   * Creates an empty bucket.
   *
   * @example
   * const bucket = RateBucket.create(2.5, runtime.nowMs);
   */
  static create(ratePerSecond: number, nowMs: () => number): RateBucket {
    return new RateBucket(ratePerSecond, nowMs);
  }

  /** Counts one request. */
  take(): void {
    this.#refill();
    this.#tokens = Math.max(this.#tokens - 1, -MAX_DEBT_FACTOR * this.#capacity);
  }

  /** Time until the bucket holds `tokens`, up to its capacity; 0 when it does now. */
  msUntil(tokens: number): number {
    this.#refill();
    const missing = Math.min(tokens, this.#capacity) - this.#tokens;
    return missing <= 0 ? 0 : Math.ceil((missing * MS_PER_SECOND) / this.ratePerSecond);
  }

  get #capacity(): number {
    return Math.max(MIN_CAPACITY, (this.ratePerSecond * BURST_MS) / MS_PER_SECOND);
  }

  #refill(): void {
    const nowMs = this.nowMs();
    const added = ((nowMs - this.#updatedAtMs) * this.ratePerSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#tokens + added, this.#capacity);
    this.#updatedAtMs = nowMs;
  }
}
