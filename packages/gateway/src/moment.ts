/** @module Moments from which the age of knowledge counts, also while the machine is suspended. */
import type { Runtime } from './runtime.js';

/** A moment on both clocks of a process. */
export interface Moment {
  readonly atMs: number;
  readonly atSuspendAwareMs: number;
}

/** Before everything that a process can know. */
export const NEVER: Moment = {
  atMs: Number.NEGATIVE_INFINITY,
  atSuspendAwareMs: Number.NEGATIVE_INFINITY,
};

/** Function that returns the present moment. */
type MomentNow = (runtime: Runtime) => Moment;

/** Function that returns the time since a moment. */
type AgeMsOf = (runtime: Runtime, moment: Moment) => number;

/**
 * The present moment. An answer is as old as the moment at which it was requested: its bytes may
 * have waited while the process or the network stood still.
 *
 * @example
 * const requestedAt = momentNow(runtime);
 */
export const momentNow: MomentNow = (runtime) => ({
  atMs: runtime.nowMs(),
  atSuspendAwareMs: runtime.suspendAwareMs(),
});

/**
 * Time since a moment, by the clock that has advanced further: one stands still while the machine is
 * suspended, the other may be set back.
 *
 * @example
 * ageMsOf(runtime, requestedAt); // 1_250
 */
export const ageMsOf: AgeMsOf = (runtime, { atMs, atSuspendAwareMs }) =>
  Math.max(runtime.nowMs() - atMs, runtime.suspendAwareMs() - atSuspendAwareMs);
