/** @module Estimates how long a pass of a group lasts, from the pauses between events. */

/** Weight of a new pause; a handful of pauses decide, so that the estimate follows within a pass. */
const SMOOTHING = 0.12;

/** An estimate that nothing has confirmed for this long says nothing any more. */
const EXPIRY_MS = 1_000;

/** All ranks of a group execute each pass together, so every running stream shows its length. */
export default class PassMeter {
  #estimateMs = 0;

  #recordedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates a meter that knows nothing.
   *
   * @example
   * const meter = PassMeter.create(runtime.nowMs);
   */
  static create(nowMs: () => number): PassMeter {
    return new PassMeter(nowMs);
  }

  /** Takes the pause before one event. */
  record(pauseMs: number): void {
    const weight = this.estimateMs() === 0 ? 1 : SMOOTHING;
    this.#estimateMs += weight * (pauseMs - this.#estimateMs);
    this.#recordedAtMs = this.nowMs();
  }

  /** Length of a pass; 0 when unknown. */
  estimateMs(): number {
    return this.nowMs() - this.#recordedAtMs < EXPIRY_MS ? this.#estimateMs : 0;
  }
}
