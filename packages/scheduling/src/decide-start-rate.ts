/**
 * @module Decides how fast one gateway starts requests in a group whose passes are nearly long.
 *
 * Load pattern: several gateways refuse because passes are long, then all see the same estimate fall
 * and admit all that waits. The passes become long at once, for the requests that run as well.
 */

/** A group of targets and the part of it that is this gateway's. */
export interface StartRateQuestion {
  /** Duration from which passes are long; 0 when their duration does not matter. */
  readonly longPassMs: number;
  /** Estimated duration of a pass; 0 when unknown. */
  readonly passMs: number;
  /** Requests of all gateways in the group. */
  readonly runningCount: number;
  /** Requests that the group runs at once. */
  readonly placeCount: number;
  /** Requests of all gateways that end in the group. */
  readonly endsPerSecond: number;
  /** Share of this gateway in (0, 1]. */
  readonly share: number;
}

/** Decides the rate of starts; infinite when it is not limited. */
export type DecideStartRate = (question: StartRateQuestion) => number;

/** Counts by which the share of a gateway is estimated. */
export interface ShareQuestion {
  /** Gateways including this one. */
  readonly gatewayCount: number;
  readonly ownCount: number;
  /** Requests of all gateways. */
  readonly runningCount: number;
}

/** Decides which share of the places that come free is this gateway's. */
export type DecideShare = (question: ShareQuestion) => number;

/** Fraction of a long pass below which starts are not limited. */
const NEAR_FRACTION = 0.6;

/** Time in which the room is filled: about three long passes, by which the estimate has followed. */
const FILL_SECONDS = 0.25;

/** Starts at any time, so that a gateway whose group has no ends still finds out its passes. */
const MIN_STARTS_PER_SECOND = 2;

/**
 * The gateway's share of the ends, and of the requests that may be added until passes are long.
 *
 * @example
 * decideStartRate({ longPassMs: 84, passMs: 80, runningCount: 60, placeCount: 168, endsPerSecond: 50, share: 0.2 });
 * // 12.4
 */
export const decideStartRate: DecideStartRate = ({
  longPassMs,
  passMs,
  runningCount,
  placeCount,
  endsPerSecond,
  share,
}) => {
  if (longPassMs === 0 || passMs < longPassMs * NEAR_FRACTION) {
    return Number.POSITIVE_INFINITY;
  }
  const untilLong = runningCount * (longPassMs / passMs - 1);
  const room = Math.max(0, Math.min(placeCount - runningCount, untilLong));
  return Math.max(MIN_STARTS_PER_SECOND, share * (endsPerSecond + room / FILL_SECONDS));
};

/**
 * Mean of an equal share and of the gateway's part of the requests that run. The shares of all
 * gateways add up to 1, and one that gets more requests than others has more.
 *
 * @example
 * decideShare({ gatewayCount: 4, ownCount: 30, runningCount: 60 }); // 0.375
 */
export const decideShare: DecideShare = ({ gatewayCount, ownCount, runningCount }) => {
  const equal = 1 / Math.max(1, gatewayCount);
  return runningCount === 0 ? equal : (equal + Math.min(1, ownCount / runningCount)) / 2;
};
