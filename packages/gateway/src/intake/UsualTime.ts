/** @module Usual time from the start of a call to its answer, or to the first event of a stream. */

/** Weight of a new time; the last dozen answers dominate. */
const SMOOTHING = 0.1;

/** With mean and twice the mean deviation, about one answer in twenty takes longer. */
const DEVIATIONS = 2;

/** Moving averages of the times and of their deviations. */
export default class UsualTime {
  #meanMs: number | undefined;

  #deviationMs = 0;

  private constructor() {}

  /**
   * Creates an estimate without times.
   *
   * @example
   * const usual = UsualTime.create();
   */
  static create(): UsualTime {
    return new UsualTime();
  }

  /** Adds the time of one answer. */
  record(timeMs: number): void {
    const meanMs = this.#meanMs ?? timeMs;
    this.#meanMs = meanMs + SMOOTHING * (timeMs - meanMs);
    this.#deviationMs += SMOOTHING * (Math.abs(timeMs - meanMs) - this.#deviationMs);
  }

  /** Mean time; undefined before the first. */
  meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** Time that most answers do not exceed; undefined before the first. */
  usualMs(): number | undefined {
    return this.#meanMs === undefined ? undefined : this.#meanMs + DEVIATIONS * this.#deviationMs;
  }
}
