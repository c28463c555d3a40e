/** @module Whether a hold of the engine beside this agent may be released by the agent itself. */
import type { RankReport } from '@ebonysill/gateway';

/** A driver that lives confirms its hold within a few messages. */
const CONFIRM_TIMEOUT_MS = 250;

/**
 * Follows the holds of one engine.
 *
 * A driver arms ranks only after this agent has confirmed the hold. So a hold that began in this
 * agent's life and that no driver asked to confirm protects nothing, and is given up.
 */
export default class HoldTracker {
  #epoch = 0;

  /** Whether this life saw the engine in this epoch without its present hold. */
  #hasSeenNoHold = false;

  #heldStep = 0;

  #heldAtMs = 0;

  #confirmedStep = 0;

  /** Highest step whose hold has ended or was ordered to end; that order may still be on its way. */
  #endedStep = 0;

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates a keeper that has seen no report.
   *
   * @example
   * const keeper = HoldKeeper.create(runtime.nowMs);
   */
  static create(nowMs: () => number): HoldTracker {
    return new HoldTracker(nowMs);
  }

  /** Takes the engine's state. */
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
    this.#heldAtMs = this.nowMs();
  }

  /** Notes that a step is, or may be, released: its hold is not to be relied on any more. */
  recordRelease(step: number): void {
    this.#endedStep = Math.max(this.#endedStep, step);
  }

  /** Promises to keep the hold of a step; false unless it began in this life and has not ended. */
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

  /** The step whose hold is to be released because no driver has confirmed it in time. */
  abandonedStep(): number | undefined {
    const isAbandoned =
      this.#heldStep > 0 &&
      this.#hasSeenNoHold &&
      this.#heldStep !== this.#confirmedStep &&
      this.nowMs() - this.#heldAtMs >= CONFIRM_TIMEOUT_MS;
    return isAbandoned ? this.#heldStep : undefined;
  }
}
