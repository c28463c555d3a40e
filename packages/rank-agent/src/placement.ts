/** @module Load of ranks under a placement of experts. */
import type { RankPlacement } from '@ebonysill/gateway';

/** Popularity of experts, by layer set and expert. */
export type Popularity = readonly (readonly number[])[];

/** Experts of one layer set, by rank. */
export type SetPlacement = readonly (readonly number[])[];

/**
 * Number of ranks that hold each expert of a layer set.
 *
 * @example
 * holderCounts([[0, 1], [1]], 2); // [1, 2]
 */
export const holderCounts = (placement: SetPlacement, expertCount: number): readonly number[] => {
  const counts = Array.from({ length: expertCount }, () => 0);
  placement.forEach((experts) =>
    experts.forEach((expert) => {
      counts[expert] = (counts[expert] ?? 0) + 1;
    }),
  );
  return counts;
};

/**
 * Load of each rank in one layer set; the holders of an expert share its load evenly.
 *
 * @example
 * loadsOf([[0, 1], [1]], [4, 2]); // [5, 1]
 */
export const loadsOf = (
  placement: SetPlacement,
  popularity: readonly number[],
): readonly number[] => {
  const holders = holderCounts(placement, popularity.length);
  return placement.map((experts) =>
    experts.reduce(
      (sum, expert) => sum + (popularity[expert] ?? 0) / Math.max(1, holders[expert] ?? 1),
      0,
    ),
  );
};

/**
 * Load of the most loaded rank of a layer set over the mean.
 *
 * @example
 * peakOf([[0, 1], [1]], [4, 2]); // 5 / 3
 */
export const peakToMeanRatio = (placement: SetPlacement, popularity: readonly number[]): number => {
  const loads = loadsOf(placement, popularity);
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
  return mean === 0 ? 1 : Math.max(...loads) / mean;
};

/**
 * Peaks averaged over the layer sets: what a pass loses to waiting for the slowest rank.
 *
 * @example
 * skewOf(placement, popularity); // 1 when all ranks carry the same
 */
export const skewOf = (placement: RankPlacement, popularity: Popularity): number => {
  const peaks = placement.map((set, index) => peakToMeanRatio(set, popularity[index] ?? []));
  return peaks.reduce((sum, peak) => sum + peak, 0) / Math.max(1, peaks.length);
};
