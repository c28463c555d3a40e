/** @module Clocks and random numbers, injected so that services are independent of the machine. */

/** Clocks and random numbers of one process. */
export interface Runtime {
  /** Milliseconds on a clock that never goes back; not comparable between processes. */
  readonly nowMs: () => number;
  /**
   * Milliseconds on a clock that also counts the time for which the machine was suspended. It may
   * jump, so it is used only to detect that cached state is older than `nowMs` suggests.
   */
  readonly suspendAwareMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}
