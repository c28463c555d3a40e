/**
 * @module Bounds how long a message may have waited before it is handled.
 *
 * While a process is suspended, messages wait in its socket, and nothing in them tells for how long.
 */
import { momentNow, type Moment, type Runtime } from '@ebonysill/gateway';

/** Tracks when the timers of this process ran. */
export default class ArrivalBound {
  #lastTick: Moment;

  #tickBefore: Moment;

  private constructor(private readonly runtime: Runtime) {
    this.#lastTick = momentNow(runtime);
    this.#tickBefore = this.#lastTick;
  }

  /**
   * Creates a bound that begins now.
   *
   * @example
   * const arrivals = ArrivalBound.create(runtime);
   */
  static create(runtime: Runtime): ArrivalBound {
    return new ArrivalBound(runtime);
  }

  /** Records that a timer has run which is set again each time. */
  tick(): void {
    this.#tickBefore = this.#lastTick;
    this.#lastTick = momentNow(this.runtime);
  }

  /**
   * Earliest moment at which a message that is handled now can have arrived: the timer before the
   * last one. The last one may have run after a suspension, but before the messages that waited.
   */
  earliest(): Moment {
    return this.#tickBefore;
  }
}
