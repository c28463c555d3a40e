/** @module Plans a placement of experts that evens out the load of ranks. */
import type { RankPlacement } from '@ebonysill/gateway';
import { loadsOf, type Popularity, type SetPlacement } from './placement.js';
import SetPlanner from './SetPlanner.js';

/** Bounds of a plan. */
export interface PlanBounds {
  readonly placesPerRank: number;
  /** Experts of one layer set that may be new to a rank. */
  readonly maxNewPerRank: number;
  /** Experts of all layer sets together that may be new to a rank: it copies one after the other. */
  readonly maxCopiesPerRank: number;
}

interface PlannedSet {
  readonly index: number;
  readonly ranks: SetPlacement;
  /** By rank: experts that are new to it. */
  readonly newCounts: readonly number[];
  /** By how much the load of the most loaded rank falls, as a part of the mean. */
  readonly gain: number;
}

const peakOf = (ranks: SetPlacement, popularity: readonly number[]): number => {
  const loads = loadsOf(ranks, popularity);
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
  return mean === 0 ? 1 : Math.max(...loads) / mean;
};

const planSet = (
  current: SetPlacement,
  popularity: readonly number[],
  index: number,
  bounds: PlanBounds,
): PlannedSet => {
  const ranks = SetPlanner.create(current, popularity, bounds).plan();
  return {
    index,
    ranks,
    newCounts: ranks.map(
      (experts, rank) => experts.filter((one) => current[rank]?.includes(one) !== true).length,
    ),
    gain: peakOf(current, popularity) - peakOf(ranks, popularity),
  };
};

/**
 * Plans a placement; every expert stays on one rank at least. When not all layer sets can change
 * within the bounds, those that gain the most do.
 *
 * @example
 * planPlacement(current, popularity, { placesPerRank: 11, maxNewPerRank: 1, maxCopiesPerRank: 2 });
 */
export const planPlacement = (
  current: RankPlacement,
  popularity: Popularity,
  bounds: PlanBounds,
): RankPlacement => {
  const copies = (current[0] ?? []).map(() => 0);
  const taken = current
    .map((ranks, index) => planSet(ranks, popularity[index] ?? [], index, bounds))
    .sort((left, right) => right.gain - left.gain)
    .filter(({ newCounts }) => {
      const fits = newCounts.every(
        (count, rank) => count + (copies[rank] ?? 0) <= bounds.maxCopiesPerRank,
      );
      newCounts.forEach((count, rank) => {
        copies[rank] = (copies[rank] ?? 0) + (fits ? count : 0);
      });
      return fits;
    });
  const ranksByIndex = new Map(taken.map(({ index, ranks }) => [index, ranks]));
  return current.map((ranks, index) => ranksByIndex.get(index) ?? ranks);
};
