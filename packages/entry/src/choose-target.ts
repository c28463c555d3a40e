/** @module Ways to choose among targets that could take a request. */
import type { Peer } from '@ebonysill/core';
import { sample } from '@ebonysill/fleet';

/** A target that could take a request, with what it would cost. */
export interface Candidate {
  readonly peer: Peer;
  /** Share of its limit in use: reports, corrected by what this process has sent since. */
  readonly cost: number;
  /** Share of its limit in use by the last report alone. */
  readonly reportedCost: number;
}

/** Chooses one of the candidates; undefined when there are none. */
export type ChooseTarget = (
  candidates: readonly Candidate[],
  random: () => number,
) => Candidate | undefined;

/** Candidates that are compared for each request. */
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

/** The cheaper of two random candidates; kept to compare with. */
export const chooseOfTwo: ChooseTarget = (candidates, random) =>
  minBy(sample(candidates, COMPARED_COUNT, random), ({ cost }) => cost);

/** Any candidate; naive. */
export const chooseAny: ChooseTarget = (candidates, random) => sample(candidates, 1, random)[0];

/** The candidate with the least reported load; naive, since reports lag and are the same for all. */
export const chooseLeastReported: ChooseTarget = (candidates) =>
  minBy(candidates, ({ reportedCost }) => reportedCost);

/**
 * The cheapest of all candidates but a random one, by corrected cost; leaving one out keeps entry
 * processes with the same view from all choosing the same target.
 */
export const chooseCheapest: ChooseTarget = (candidates, random) =>
  minBy(sample(candidates, Math.max(candidates.length - 1, 1), random), ({ cost }) => cost);
