/**
 * @module Decides what a process gives up when what it keeps for clients exceeds its budget.
 *
 * Load pattern: many clients, which nobody controls, each make a process keep something and then stop:
 * a body that does not end, an answer that is not read, a connection without a request. A client that
 * goes on is served within a short time, so whatever has made no progress for longest goes first.
 */

/** How readily something is given up. */
export enum EvictionTier {
  /** The client has to act next, and may never do so. */
  Unfinished = 0,
  /** Nothing is in progress, but a sound client may come back to it. */
  Idle = 1,
}

/** Something that is kept for a client and that may be given up. */
export interface Evictable {
  readonly id: number;
  readonly tier: EvictionTier;
  /** Share of the budget that it takes: bytes, or 1 for a connection. */
  readonly cost: number;
  /** When its client last made progress. */
  readonly progressAtMs: number;
}

/** Budget of a process and what is used of it, in the unit of the costs. */
export interface EvictionBudget {
  readonly used: number;
  readonly max: number;
}

/** Chooses what to give up; returns the ids, none while the budget holds. */
export type DecideEvictions = (
  evictables: readonly Evictable[],
  budget: EvictionBudget,
) => readonly number[];

/**
 * Share of the budget that is in use after evictions. A little is freed beyond what is needed, so that
 * a flood does not cause a decision for each packet.
 */
const LOW_WATER_SHARE = 31 / 32;

const compare = (left: Evictable, right: Evictable): number =>
  left.tier - right.tier || left.progressAtMs - right.progressAtMs || right.cost - left.cost;

/**
 * Gives up what has made no progress for longest, unfinished before idle; of two that last made
 * progress at the same time, the larger one.
 *
 * @example
 * decideEvictions(openBodies, { used: 30_000_000, max: 28_000_000 });
 */
export const decideEvictions: DecideEvictions = (evictables, { used, max }) => {
  if (used <= max) {
    return [];
  }
  const excess = Math.max(used - max, Math.floor(used - max * LOW_WATER_SHARE));
  let freed = 0;
  return [...evictables]
    .sort(compare)
    .filter(({ cost }) => {
      const isNeeded = freed < excess && cost > 0;
      freed += isNeeded ? cost : 0;
      return isNeeded;
    })
    .map(({ id }) => id);
};
