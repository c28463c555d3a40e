/** @module Plans an expert map that balances the load of ranks, with a limited number of moves. */
import type { ExpertMap } from '@ebonysill/core';
import { loadOfRanks, type ExpertCounts } from './map-load.js';

/** Limits of a plan. */
export interface PlanOptions {
  readonly rankCount: number;
  /** Number of experts that one rank can hold in one layer. */
  readonly slotsPerRank: number;
  /** A layer is changed only while its highest rank load exceeds the mean by this factor. */
  readonly skewThreshold: number;
  /** Maximum number of moved, added or removed copies in one layer. */
  readonly maxMovesPerLayer: number;
}

type Placement = readonly (readonly number[])[];

interface Layer {
  readonly placement: Placement;
  readonly counts: readonly number[];
}

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const loadsOf = ({ placement, counts }: Layer, rankCount: number): readonly number[] =>
  loadOfRanks({ mapId: 0, layers: [placement] }, [counts], 0, rankCount);

const countUsedSlots = (placement: Placement, rank: number): number =>
  placement.filter((ranks) => ranks.includes(rank)).length;

const withRanks = (placement: Placement, expert: number, ranks: readonly number[]): Placement =>
  placement.map((currentRanks, index) => (index === expert ? ranks : currentRanks));

/**
 * Placements that lower the load of the most loaded rank. Each moves one of its experts to the
 * least loaded rank with a free slot, adds a copy there, or removes one of several copies. An
 * expert for which no other rank has a free slot is left alone.
 */
const listCandidates = (
  layer: Layer,
  mostLoaded: number,
  options: PlanOptions,
): readonly Placement[] => {
  const loads = loadsOf(layer, options.rankCount);
  const others = loads
    .map((load, rank) => ({ load, rank }))
    .filter(({ rank }) => rank !== mostLoaded)
    .sort((left, right) => left.load - right.load);
  return layer.placement.flatMap((ranks, expert) => {
    if (!ranks.includes(mostLoaded)) {
      return [];
    }
    const freeRank = others.find(
      ({ rank }) =>
        !ranks.includes(rank) && countUsedSlots(layer.placement, rank) < options.slotsPerRank,
    )?.rank;
    if (freeRank === undefined) {
      return [];
    }
    const moved = ranks.map((rank) => (rank === mostLoaded ? freeRank : rank));
    const reduced = ranks.filter((rank) => rank !== mostLoaded);
    return [
      withRanks(layer.placement, expert, moved),
      withRanks(layer.placement, expert, [...ranks, freeRank]),
      ...(reduced.length > 0 ? [withRanks(layer.placement, expert, reduced)] : []),
    ];
  });
};

/**
 * Highest load, plus up to 1 % of it that grows with the number of loads close to it, so that
 * lowering one of several equally high loads is an improvement too.
 */
const costOf = (placement: Placement, counts: readonly number[], rankCount: number): number => {
  const loads = loadsOf({ placement, counts }, rankCount);
  const peak = Math.max(...loads);
  return peak + meanOf(loads.map((load) => (load / peak) ** 8)) * (peak / 100);
};

const improveOnce = (layer: Layer, options: PlanOptions): Placement | undefined => {
  const loads = loadsOf(layer, options.rankCount);
  const peak = Math.max(...loads);
  if (peak <= options.skewThreshold * meanOf(loads)) {
    return undefined;
  }
  const mostLoaded = loads.indexOf(peak);
  const currentCost = costOf(layer.placement, layer.counts, options.rankCount);
  const best = listCandidates(layer, mostLoaded, options)
    .map((placement) => ({
      placement,
      cost: costOf(placement, layer.counts, options.rankCount),
    }))
    .reduce<{ placement: Placement; cost: number } | undefined>(
      (least, candidate) =>
        least === undefined || candidate.cost < least.cost ? candidate : least,
      undefined,
    );
  return best !== undefined && best.cost < currentCost ? best.placement : undefined;
};

const improve = (layer: Layer, options: PlanOptions, movesLeft: number): Placement => {
  const better = movesLeft > 0 ? improveOnce(layer, options) : undefined;
  return better === undefined
    ? layer.placement
    : improve({ ...layer, placement: better }, options, movesLeft - 1);
};

/**
 * Plans the next map from token counts; undefined if no layer is skewed enough or can be improved.
 *
 * @example
 * planMap(current, counts, { rankCount: 32, slotsPerRank: 4, skewThreshold: 1.2, maxMovesPerLayer: 16 });
 */
export const planMap = (
  current: ExpertMap,
  counts: ExpertCounts,
  options: PlanOptions,
): ExpertMap | undefined => {
  const layers = current.layers.map((placement, layer) =>
    improve({ placement, counts: counts[layer] ?? [] }, options, options.maxMovesPerLayer),
  );
  const isSame = layers.every((placement, layer) => placement === current.layers[layer]);
  return isSame ? undefined : { mapId: current.mapId + 1, layers };
};
