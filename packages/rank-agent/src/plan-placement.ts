/** @module Plans a placement of experts that balances the load of ranks. */
import type { RankPlacement } from '@ebonysill/gateway';
import { peakToMeanRatio, type Popularity, type SetPlacement } from './placement.js';
import SetPlanner from './SetPlanner.js';

/** Limits of a plan. */
export interface PlanBounds {
  /** Number of experts of one layer set that a rank can hold. */
  readonly placesPerRank: number;
  /** Maximum number of experts of one layer set that are new to a rank. */
  readonly maxNewPerRank: number;
  /** Maximum number of experts new to a rank over all layer sets; it copies one at a time. */
  readonly maxCopiesPerRank: number;
}

const countNewExperts = (experts: readonly number[], before: readonly number[] = []): number =>
  experts.filter((expert) => !before.includes(expert)).length;

/** Indexes of the layer sets, the least balanced first, since a copy there lowers the skew most. */
const layerSetsByPeak = (current: RankPlacement, popularity: Popularity): readonly number[] =>
  current
    .map((ranks, index) => ({ index, peak: peakToMeanRatio(ranks, popularity[index] ?? []) }))
    .sort((left, right) => right.peak - left.peak)
    .map(({ index }) => index);

/**
 * Plans a placement in which every expert is held by at least one rank. The limit
 * `maxCopiesPerRank` is used up by the least balanced layer sets first.
 *
 * @example
 * planPlacement(current, popularity, { placesPerRank: 11, maxNewPerRank: 1, maxCopiesPerRank: 2 });
 */
export const planPlacement = (
  current: RankPlacement,
  popularity: Popularity,
  { placesPerRank, maxNewPerRank, maxCopiesPerRank }: PlanBounds,
): RankPlacement => {
  const copiesLeft = (current[0] ?? []).map(() => maxCopiesPerRank);
  const planned = new Map<number, SetPlacement>();
  layerSetsByPeak(current, popularity).forEach((index) => {
    const before = current[index] ?? [];
    const after = SetPlanner.create(before, popularity[index] ?? [], {
      placesPerRank,
      maxNewByRank: copiesLeft.map((left) => Math.min(maxNewPerRank, left)),
    }).plan();
    planned.set(index, after);
    after.forEach((experts, rank) => {
      copiesLeft[rank] = (copiesLeft[rank] ?? 0) - countNewExperts(experts, before[rank]);
    });
  });
  return current.map((ranks, index) => planned.get(index) ?? ranks);
};
