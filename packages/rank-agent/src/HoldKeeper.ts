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
export default class HoldKeeper {
  #epoch = 0;

  /** Whether this life saw the engine in this epoch without its present hold. */
  #isBeginSeen = false;

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
  static create(nowMs: () => number): HoldKeeper {
    return new HoldKeeper(nowMs);
  }

  /** Takes the engine's state. */
  note({ epoch, heldStep }: RankReport): void {
    if (epoch !== this.#epoch) {
      this.#epoch = epoch;
      this.#isBeginSeen = false;
      this.#heldStep = 0;
      this.#confirmedStep = 0;
      this.#endedStep = 0;
    }
    if (heldStep === this.#heldStep) {
      this.#isBeginSeen ||= heldStep === 0;
      return;
    }
    this.noteRelease(this.#heldStep);
    this.#isBeginSeen ||= heldStep === 0;
    this.#heldStep = heldStep;
    this.#heldAtMs = this.nowMs();
  }

  /** Notes that a step is, or may be, released: its hold is not to be relied on any more. */
  noteRelease(step: number): void {
    this.#endedStep = Math.max(this.#endedStep, step);
  }

  /** Promises to keep the hold of a step; false unless it began in this life and has not ended. */
  confirm(epoch: number, step: number): boolean {
    const isKept =
      epoch === this.#epoch &&
      step === this.#heldStep &&
      step > this.#endedStep &&
      this.#isBeginSeen;
    if (isKept) {
      this.#confirmedStep = step;
    }
    return isKept;
  }

  /** The step whose hold is to be released because no driver has confirmed it in time. */
  abandoned(): number | undefined {
    const isOrphan =
      this.#heldStep > 0 &&
      this.#isBeginSeen &&
      this.#heldStep !== this.#confirmedStep &&
      this.nowMs() - this.#heldAtMs >= CONFIRM_TIMEOUT_MS;
    return isOrphan ? this.#heldStep : undefined;
  }
}
