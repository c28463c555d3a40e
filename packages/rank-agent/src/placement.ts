/** @module Load of ranks under a placement of experts. */
import type { RankPlacement } from '@ebonysill/gateway';

/** Activations of experts, recent ones weighted higher, by layer set and expert. */
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
 * Load of the most loaded rank of a layer set, divided by the mean load; 1 without any load.
 *
 * @example
 * peakToMeanRatio([[0, 1], [1]], [4, 2]); // 5 / 3
 */
export const peakToMeanRatio = (placement: SetPlacement, popularity: readonly number[]): number => {
  const loads = loadsOf(placement, popularity);
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
  return mean === 0 ? 1 : Math.max(...loads) / mean;
};

/**
 * Mean of the peak-to-mean ratios of the layer sets. Since all ranks wait for the slowest rank,
 * this is the factor by which a forward pass takes longer than with equal loads.
 *
 * @example
 * skewOf(placement, popularity); // 1 when all ranks have equal loads
 */
export const skewOf = (placement: RankPlacement, popularity: Popularity): number => {
  const peaks = placement.map((set, index) => peakToMeanRatio(set, popularity[index] ?? []));
  return peaks.reduce((sum, peak) => sum + peak, 0) / Math.max(1, peaks.length);
};
