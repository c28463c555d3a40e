/** @module Load-balancing policies: choose one of the targets that can accept a request. */
import type { Peer } from '@ebonysill/core';
import { sample } from '@ebonysill/fleet';

/** A target that can accept a request, with its cost; the lowest cost is best. */
export interface Candidate {
  readonly peer: Peer;
  /**
   * Share of its limit in use: the last load report, corrected by the requests that this process
   * started and ended since, plus a penalty for other availability zones.
   */
  readonly cost: number;
  /** Share of its limit in use by the last report alone, plus the same penalty. */
  readonly reportedCost: number;
}

/** Chooses one of the candidates; undefined when there are none. */
export type ChooseTarget = (
  candidates: readonly Candidate[],
  random: () => number,
) => Candidate | undefined;

/** Candidates that {@link chooseOfTwo} compares. */
const COMPARED_COUNT = 2;

const minBy = (
  candidates: readonly Candidate[],
  costOf: (candidate: Candidate) => number,
): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || costOf(candidate) < costOf(best) ? candidate : best,
    undefined,
  );

/** The cheaper of two random candidates (power of two choices); a baseline for comparison. */
export const chooseOfTwo: ChooseTarget = (candidates, random) =>
  minBy(sample(candidates, COMPARED_COUNT, random), ({ cost }) => cost);

/** A random candidate; a baseline for comparison. */
export const chooseAny: ChooseTarget = (candidates, random) => sample(candidates, 1, random)[0];

/**
 * The candidate with the least reported load; a baseline for comparison. Reports lag and are the
 * same for all entry processes, so these all choose the same target.
 */
export const chooseLeastReported: ChooseTarget = (candidates) =>
  minBy(candidates, ({ reportedCost }) => reportedCost);

/**
 * The cheapest candidate by corrected cost. If there are several, a random one is excluded first,
 * which keeps entry processes with the same load reports from all choosing the same target.
 */
export const chooseCheapest: ChooseTarget = (candidates, random) =>
  minBy(sample(candidates, Math.max(candidates.length - 1, 1), random), ({ cost }) => cost);
