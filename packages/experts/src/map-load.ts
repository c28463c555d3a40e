/** @module Load of ranks under an expert map. */
import type { ExpertMap } from '@ebonysill/core';

/** Number of tokens routed to each expert, by layer and expert. */
export type ExpertCounts = readonly (readonly number[])[];

/**
 * Adds counts to a sum, which is undefined before the first counts.
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
 * Tokens per rank in one layer; the copies of an expert share its tokens evenly.
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
 * Step-time skew of a map: the highest load of a rank divided by the mean load, each summed over
 * the layers.
 *
 * @example
 * skewOf(map, counts, 32); // 1 when all ranks have equal loads
 */
export const skewOf = (map: ExpertMap, counts: ExpertCounts, rankCount: number): number => {
  const totals = map.layers.map((_, layer) => loadOfRanks(map, counts, layer, rankCount));
  const peak = totals.reduce((sum, loads) => sum + Math.max(...loads), 0);
  const mean = totals.reduce(
    (sum, loads) => sum + loads.reduce((total, load) => total + load, 0) / rankCount,
    0,
  );
  return mean === 0 ? 1 : peak / mean;
};
