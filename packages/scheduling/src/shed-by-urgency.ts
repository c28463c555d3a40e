/**
 * @module Decides up to which duration of passes a group takes requests of a kind, by its urgency.
 *
 * Load pattern: more streams of several priorities than a group serves with short passes. If all kinds
 * are admitted up to the same duration, passes stay just below it, and the kind with the shortest
 * objective is late most often, however urgent it is. After passes were long, less urgent kinds are
 * therefore admitted only at shorter passes, so that the room goes to the more urgent ones first.
 */

/** Load of a group, as a request of some urgency meets it. */
export interface SheddingQuestion {
  /** Levels of priority of the service that are more urgent than the request. */
  readonly moreUrgentLevels: number;
  /** Time since passes were long; infinite if they never were. */
  readonly sinceLongMs: number;
  /** Time since a stream of this gateway and of the same urgency started; infinite if none did. */
  readonly sinceOwnStartMs: number;
}

/** Returns the share of the longest pause allowed by the route from which passes count as long. */
export type DecideLongPassShare = (question: SheddingQuestion) => number;

/** Share for the most urgent requests; some passes take a third more than the mean one. */
export const LONG_PASS_SHARE = 0.7;

/** Room that a level leaves to the next more urgent one. */
const SHARE_PER_LEVEL = 0.1;

/** With more levels than there is room for, the least urgent ones share the lowest limit. */
const MIN_SHARE = 0.4;

/** About the duration of a stream: the streams that made passes long have ended by then. */
const RECOVERY_MS = 2_000;

/** A kind that did not start for this long is admitted like the most urgent one, so that none starves. */
const MAX_YIELD_MS = 1_000;

/**
 * Lowers the share with each more urgent level while passes are long, and shortly after.
 *
 * @example
 * longPassShareOf({ moreUrgentLevels: 0, sinceLongMs: 0, sinceOwnStartMs: 0 }); // 0.7
 * longPassShareOf({ moreUrgentLevels: 1, sinceLongMs: 0, sinceOwnStartMs: 0 }); // 0.6
 */
export const longPassShareOf: DecideLongPassShare = ({
  moreUrgentLevels,
  sinceLongMs,
  sinceOwnStartMs,
}) => {
  const isYielding = sinceLongMs < RECOVERY_MS && sinceOwnStartMs < MAX_YIELD_MS;
  const loweredBy = isYielding ? SHARE_PER_LEVEL * moreUrgentLevels : 0;
  return Math.max(MIN_SHARE, LONG_PASS_SHARE - loweredBy);
};

/**
 * Number of levels that are more urgent than a request, of those that routes of its service publish.
 * Without at least two levels, operators have not ranked the kinds, and none yields.
 *
 * @example
 * countMoreUrgent([0, 1, 2], 1); // 1
 * countMoreUrgent([1], 5); // 0
 */
export const countMoreUrgent = (levels: readonly number[], priority: number): number =>
  levels.length < 2 ? 0 : levels.filter((level) => level < priority).length;
