/** @module Starts that one gateway has left in one group of targets. */

const MS_PER_SECOND = 1_000;

/** Time in which starts are collected that may then happen at once. */
const BURST_SECONDS = 0.2;

/** A token bucket whose rate may differ each time that it is asked. */
export default class StartQuota {
  #tokens = 1;

  #updatedAtMs: number;

  private constructor(private readonly nowMs: () => number) {
    this.#updatedAtMs = nowMs();
  }

  /**
   * Creates a quota for one start.
   *
   * @example
   * const quota = StartQuota.create(runtime.nowMs);
   */
  static create(nowMs: () => number): StartQuota {
    return new StartQuota(nowMs);
  }

  /** Whether a request may start now, at this rate since the last question; infinite for no limit. */
  mayStart(startsPerSecond: number): boolean {
    const nowMs = this.nowMs();
    const addedTokens = ((nowMs - this.#updatedAtMs) * startsPerSecond) / MS_PER_SECOND;
    this.#updatedAtMs = nowMs;
    if (startsPerSecond === Number.POSITIVE_INFINITY) {
      this.#tokens = 1;
      return true;
    }
    const capacity = Math.max(1, startsPerSecond * BURST_SECONDS);
    this.#tokens = Math.min(capacity, this.#tokens + addedTokens);
    return this.#tokens >= 1;
  }

  /** Counts a start. */
  take(): void {
    this.#tokens = Math.max(-1, this.#tokens - 1);
  }
}
