/** @module Functions that a process is given instead of reading its surroundings. */

/** Clocks and random numbers of one process. */
export interface Runtime {
  /** Milliseconds on a clock that never goes back; not comparable between processes. */
  readonly nowMs: () => number;
  /**
   * Milliseconds on a clock that also counts the time for which the machine was suspended; it may
   * jump, so it is only ever used to find knowledge older than `nowMs` makes it look.
   */
  readonly suspendAwareMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}
