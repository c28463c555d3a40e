/** @module Decides whether the agent may release its engine's hold without a driver's order. */
import {
  NEVER,
  ageMsOf,
  momentNow,
  type Moment,
  type RankReport,
  type Runtime,
} from '@ebonysill/gateway';

/** Time after which an unconfirmed hold is released; drivers confirm within a few messages. */
const CONFIRM_TIMEOUT_MS = 250;

/**
 * Tracks the holds of one engine.
 *
 * A driver arms ranks only after this agent has confirmed the hold. So a hold that began while this
 * process was running, and that no driver has asked it to confirm, protects nothing and can be
 * released.
 */
export default class HoldTracker {
  #epoch = 0;

  /** Whether this process has seen the engine without a hold in this epoch. */
  #hasSeenNoHold = false;

  #heldStep = 0;

  #heldAt: Moment = NEVER;

  #confirmedStep = 0;

  /** Highest step whose hold has ended, or whose release was ordered and may still be in flight. */
  #endedStep = 0;

  private constructor(private readonly runtime: Runtime) {}

  /**
   * Creates a tracker without any report.
   *
   * @example
   * const tracker = HoldTracker.create(runtime);
   */
  static create(runtime: Runtime): HoldTracker {
    return new HoldTracker(runtime);
  }

  /** Records the engine's latest report; a new epoch discards all earlier state. */
  recordReport({ epoch, heldStep }: RankReport): void {
    if (epoch !== this.#epoch) {
      this.#epoch = epoch;
      this.#hasSeenNoHold = false;
      this.#heldStep = 0;
      this.#confirmedStep = 0;
      this.#endedStep = 0;
    }
    if (heldStep === this.#heldStep) {
      this.#hasSeenNoHold ||= heldStep === 0;
      return;
    }
    this.recordRelease(this.#heldStep);
    this.#hasSeenNoHold ||= heldStep === 0;
    this.#heldStep = heldStep;
    this.#heldAt = momentNow(this.runtime);
  }

  /** Records that a step has been or may be released, so its hold can no longer be confirmed. */
  recordRelease(step: number): void {
    this.#endedStep = Math.max(this.#endedStep, step);
  }

  /**
   * Promises to retain the hold of a step; false unless this process saw the hold begin and it has
   * not ended.
   */
  confirm(epoch: number, step: number): boolean {
    const isConfirmed =
      epoch === this.#epoch &&
      step === this.#heldStep &&
      step > this.#endedStep &&
      this.#hasSeenNoHold;
    if (isConfirmed) {
      this.#confirmedStep = step;
    }
    return isConfirmed;
  }

  /** Step whose hold must be released because no driver asked to confirm it in time. */
  abandonedStep(): number | undefined {
    const isAbandoned =
      this.#heldStep > 0 &&
      this.#hasSeenNoHold &&
      this.#heldStep !== this.#confirmedStep &&
      ageMsOf(this.runtime, this.#heldAt) >= CONFIRM_TIMEOUT_MS;
    return isAbandoned ? this.#heldStep : undefined;
  }
}
