/** @module Estimates the duration of a group's forward pass from the pauses between events. */

/**
 * Weight of a new pause in the moving average. The last few pauses dominate it, and each pass adds
 * a pause for every running stream, so the estimate follows a change within about a pass.
 */
const SMOOTHING = 0.12;

/** An estimate without a new pause for this long is discarded. */
const EXPIRY_MS = 1_000;

/** All ranks of a group execute each pass together, so every running stream shows its duration. */
export default class PassMeter {
  #estimateMs = 0;

  #recordedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates a meter without an estimate.
   *
   * @example
   * const meter = PassMeter.create(runtime.nowMs);
   */
  static create(nowMs: () => number): PassMeter {
    return new PassMeter(nowMs);
  }

  /** Adds the pause before one event to the moving average. */
  record(pauseMs: number): void {
    const weight = this.estimateMs() === 0 ? 1 : SMOOTHING;
    this.#estimateMs += weight * (pauseMs - this.#estimateMs);
    this.#recordedAtMs = this.nowMs();
  }

  /** Duration of a pass; 0 when unknown. */
  estimateMs(): number {
    return this.nowMs() - this.#recordedAtMs < EXPIRY_MS ? this.#estimateMs : 0;
  }
}
