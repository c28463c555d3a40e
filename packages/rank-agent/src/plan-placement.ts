/** @module Plans a placement of experts that evens out the load of ranks. */
import type { RankPlacement } from '@ebonysill/gateway';
import { peakToMeanRatio, type Popularity, type SetPlacement } from './placement.js';
import SetPlanner from './SetPlanner.js';

/** Bounds of a plan. */
export interface PlanBounds {
  readonly placesPerRank: number;
  /** Experts of one layer set that may be new to a rank. */
  readonly maxNewPerRank: number;
  /** Experts of all layer sets together that may be new to a rank: it copies one after the other. */
  readonly maxCopiesPerRank: number;
}

const countNewExperts = (experts: readonly number[], before: readonly number[] = []): number =>
  experts.filter((expert) => !before.includes(expert)).length;

/** Layer sets whose most loaded rank stands out most come first: they use the copies best. */
const layerSetsByPeak = (current: RankPlacement, popularity: Popularity): readonly number[] =>
  current
    .map((ranks, index) => ({ index, peak: peakToMeanRatio(ranks, popularity[index] ?? []) }))
    .sort((left, right) => right.peak - left.peak)
    .map(({ index }) => index);

/**
 * Plans a placement; every expert stays on one rank at least. Layer sets share the copies that a
 * rank can make: a later one does with what the earlier ones left.
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
