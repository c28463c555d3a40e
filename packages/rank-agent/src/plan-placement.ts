/**
 * @module Plans a placement of experts that evens out the load of ranks.
 *
 * Local search on each layer set: the most loaded rank gives an expert away, or shares it, as long
 * as that lowers the highest load.
 */
import type { RankPlacement } from '@ebonysill/gateway';
import { holderCounts, loadsOf, type Popularity, type SetPlacement } from './placement.js';

/** Bounds of a plan. */
export interface PlanBounds {
  readonly placesPerRank: number;
  /** Experts of one layer set that may be new to a rank. */
  readonly maxNewPerRank: number;
}

/** Steps of the search in one layer set; each takes about a millisecond. */
const MAX_STEPS = 48;

/** A step must lower the cost by this part at least; less is not worth a copy. */
const MIN_STEP_GAIN = 0.004;

/** Power that makes the cost follow the highest loads, yet reward lowering the next ones too. */
const COST_POWER = 8;

interface SearchState {
  readonly ranks: readonly (readonly number[])[];
  readonly popularity: readonly number[];
  readonly original: readonly ReadonlySet<number>[];
  readonly bounds: PlanBounds;
}

/** One change of a placement. */
interface Step {
  readonly expert: number;
  readonly from: number;
  readonly to: number;
  /** Whether the giving rank keeps the expert too. */
  readonly isShared: boolean;
  /** Expert that the receiving rank gives up for it; moved to the giving rank unless shared. */
  readonly dropped: number | undefined;
}

interface Candidate {
  readonly ranks: readonly (readonly number[])[];
  readonly cost: number;
}

const costOf = (ranks: SetPlacement, popularity: readonly number[]): number => {
  const loads = loadsOf(ranks, popularity);
  return loads.reduce((sum, load) => sum + load ** COST_POWER, 0) ** (1 / COST_POWER);
};

const newCount = (experts: readonly number[], original: ReadonlySet<number>): number =>
  experts.filter((expert) => !original.has(expert)).length;

const without = (experts: readonly number[], expert: number | undefined): readonly number[] =>
  experts.filter((one) => one !== expert);

const applyStep = (ranks: SetPlacement, step: Step): SetPlacement =>
  ranks.map((experts, rank) => {
    if (rank === step.to) {
      return [...without(experts, step.dropped), step.expert];
    }
    if (rank !== step.from || step.isShared) {
      return experts;
    }
    const kept = without(experts, step.expert);
    const isTaken = step.dropped === undefined || kept.includes(step.dropped);
    return isTaken ? kept : [...kept, step.dropped];
  });

const isAllowed = (ranks: SetPlacement, { bounds, original, popularity }: SearchState): boolean =>
  ranks.every(
    (experts, rank) =>
      experts.length <= bounds.placesPerRank &&
      newCount(experts, original[rank] ?? new Set()) <= bounds.maxNewPerRank,
  ) && holderCounts(ranks, popularity.length).every((count) => count > 0);

/** Experts that a rank may give up for another: none while it has a free place. */
const droppable = ({ ranks, bounds }: SearchState, to: number): readonly (number | undefined)[] => {
  const experts = ranks[to] ?? [];
  return experts.length < bounds.placesPerRank ? [undefined] : experts;
};

const stepsOf = (state: SearchState, from: number): readonly Step[] =>
  (state.ranks[from] ?? []).flatMap((expert) =>
    state.ranks.flatMap((experts, to) =>
      to === from || experts.includes(expert)
        ? []
        : droppable(state, to).flatMap((dropped) => [
            { expert, from, to, dropped, isShared: true },
            { expert, from, to, dropped, isShared: false },
          ]),
    ),
  );

const bestStep = (state: SearchState): Candidate | undefined => {
  const loads = loadsOf(state.ranks, state.popularity);
  const from = loads.indexOf(Math.max(...loads));
  return stepsOf(state, from)
    .map((step) => applyStep(state.ranks, step))
    .filter((ranks) => isAllowed(ranks, state))
    .map((ranks) => ({ ranks, cost: costOf(ranks, state.popularity) }))
    .reduce<Candidate | undefined>(
      (best, one) => (best === undefined || one.cost < best.cost ? one : best),
      undefined,
    );
};

const improve = (state: SearchState, stepsLeft: number): SetPlacement => {
  const best = stepsLeft > 0 ? bestStep(state) : undefined;
  const present = costOf(state.ranks, state.popularity);
  return best === undefined || best.cost > present * (1 - MIN_STEP_GAIN)
    ? state.ranks
    : improve({ ...state, ranks: best.ranks }, stepsLeft - 1);
};

/**
 * Plans a placement; every expert stays on one rank at least.
 *
 * @example
 * planPlacement(current, popularity, { placesPerRank: 11, maxNewPerRank: 2 });
 */
export const planPlacement = (
  current: RankPlacement,
  popularity: Popularity,
  bounds: PlanBounds,
): RankPlacement =>
  current.map((ranks, index) =>
    improve(
      {
        ranks,
        popularity: popularity[index] ?? [],
        original: ranks.map((experts) => new Set(experts)),
        bounds,
      },
      MAX_STEPS,
    ),
  );
