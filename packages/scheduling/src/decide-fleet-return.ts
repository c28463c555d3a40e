/**
 * @module Decides when a caller comes back for which the fleet has no place.
 *
 * Load pattern: a burst whose refused callers all come back after the same fixed time, in which too
 * few places have come free, so that they are refused a second time.
 */

/** A refusal because there is no place at any gateway. */
export interface FleetReturnQuestion {
  /** Callers that were told to come back and are still due. */
  readonly dueCount: number;
  /** Requests that wait at this gateway. */
  readonly waitingCount: number;
  /** Gateways including this one. */
  readonly gatewayCount: number;
  /** Requests of all gateways that end at the service; 0 when unknown. */
  readonly endsPerSecond: number;
  /** Estimated duration of a pass; 0 when unknown or without passes. */
  readonly passMs: number;
  /** Time left to the caller. */
  readonly remainingMs: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Decides the delay of a caller for which the fleet has no place. */
export type DecideFleetReturnMs = (question: FleetReturnQuestion) => number;

/** Delay while the rate is unknown: about the time in which the first running streams end. */
const UNKNOWN_RATE_MS = 200;

const MIN_DELAY_MS = 20;

const MAX_DELAY_MS = 2_000;

/** Callers wait for at most this share of their time. */
const MAX_REMAINING_SHARE = 1 / 3;

/** Passes until a request that ends has shortened them. */
const REACTION_PASSES = 2;

const MS_PER_SECOND = 1_000;

/** Delays are spread over this part of themselves, around the expected one. */
const SPREAD = 0.5;

/**
 * The time in which places come free for those who are due before, spread by a quarter each way.
 *
 * @example
 * decideFleetReturnMs({ dueCount: 19, waitingCount: 0, gatewayCount: 6, endsPerSecond: 50, passMs: 0, remainingMs: 8_000, random: 0.5 });
 * // 400
 */
export const decideFleetReturnMs: DecideFleetReturnMs = ({
  dueCount,
  waitingCount,
  gatewayCount,
  endsPerSecond,
  passMs,
  remainingMs,
  random,
}) => {
  const aheadCount = dueCount + waitingCount * gatewayCount;
  const freeMs =
    endsPerSecond > 0 ? ((aheadCount + 1) * MS_PER_SECOND) / endsPerSecond : UNKNOWN_RATE_MS;
  const expectedMs = Math.max(MIN_DELAY_MS, passMs * REACTION_PASSES, freeMs);
  const spreadMs = expectedMs * (1 - SPREAD / 2 + random * SPREAD);
  const boundedMs = Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, spreadMs));
  return Math.round(Math.min(boundedMs, remainingMs * MAX_REMAINING_SHARE));
};
