/** @module Plans a placement of experts that evens out the load of ranks. */
import type { RankPlacement } from '@ebonysill/gateway';
import type { Popularity } from './placement.js';
import SetPlanner, { type PlanBounds } from './SetPlanner.js';

export type { PlanBounds } from './SetPlanner.js';

/**
 * Plans a placement; every expert stays on one rank at least.
 *
 * @example
 * planPlacement(current, popularity, { placesPerRank: 11, maxNewPerRank: 1 });
 */
export const planPlacement = (
  current: RankPlacement,
  popularity: Popularity,
  bounds: PlanBounds,
): RankPlacement =>
  current.map((ranks, index) => SetPlanner.create(ranks, popularity[index] ?? [], bounds).plan());
