/** @module Load of ranks under a map. */
import type { ExpertMap } from '@ebonysill/core';

/** Tokens that each expert took, by layer. */
export type ExpertCounts = readonly (readonly number[])[];

/**
 * Adds counts to a sum; the first counts are the sum.
 *
 * @example
 * sum = addCounts(sum, counts);
 */
export const addCounts = (sum: ExpertCounts | undefined, counts: ExpertCounts): ExpertCounts =>
  sum === undefined
    ? counts
    : counts.map((layer, index) =>
        layer.map((count, expert) => count + (sum[index]?.[expert] ?? 0)),
      );

/**
 * Tokens per rank of one layer; an expert's tokens are shared evenly by its copies.
 *
 * @example
 * loadOfRanks(map, counts, 0, 32); // 32 numbers
 */
export const loadOfRanks = (
  map: ExpertMap,
  counts: ExpertCounts,
  layer: number,
  rankCount: number,
): readonly number[] => {
  const loads = Array.from({ length: rankCount }, () => 0);
  (map.layers[layer] ?? []).forEach((ranks, expert) => {
    const share = (counts[layer]?.[expert] ?? 0) / ranks.length;
    ranks.forEach((rank) => {
      loads[rank] = (loads[rank] ?? 0) + share;
    });
  });
  return loads;
};

/**
 * Step-time skew of a map: the slowest rank's time over the mean, summed over the layers.
 *
 * @example
 * skewOf(map, counts, 32); // 1 when all ranks carry the same
 */
export const skewOf = (map: ExpertMap, counts: ExpertCounts, rankCount: number): number => {
  const totals = map.layers.map((_, layer) => loadOfRanks(map, counts, layer, rankCount));
  const slowest = totals.reduce((sum, loads) => sum + Math.max(...loads), 0);
  const mean = totals.reduce(
    (sum, loads) => sum + loads.reduce((total, load) => total + load, 0) / rankCount,
    0,
  );
  return mean === 0 ? 1 : slowest / mean;
};
