/** @module Plans a better map: moves and copies as few experts as the gain is worth. */
import type { ExpertMap } from '@ebonysill/core';
import { loadOfRanks, type ExpertCounts } from './map-load.js';

/** Bounds of a plan. */
export interface PlanOptions {
  readonly rankCount: number;
  /** Copies of experts that one rank can hold in one layer. */
  readonly slotsPerRank: number;
  /** A layer whose slowest rank carries less than this multiple of the mean is left alone. */
  readonly skewThreshold: number;
  /** Moves and copies in one layer at most. */
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

const slotsUsed = (placement: Placement, rank: number): number =>
  placement.filter((ranks) => ranks.includes(rank)).length;

const replace = (placement: Placement, expert: number, ranks: readonly number[]): Placement =>
  placement.map((present, index) => (index === expert ? ranks : present));

/** Placements that take an expert off the slowest rank, in whole or in part. */
const relieve = (layer: Layer, slowest: number, options: PlanOptions): readonly Placement[] => {
  const loads = loadsOf(layer, options.rankCount);
  const others = loads
    .map((load, rank) => ({ load, rank }))
    .filter(({ rank }) => rank !== slowest)
    .sort((left, right) => left.load - right.load);
  return layer.placement.flatMap((ranks, expert) => {
    if (!ranks.includes(slowest)) {
      return [];
    }
    const free = others.find(
      ({ rank }) =>
        !ranks.includes(rank) && slotsUsed(layer.placement, rank) < options.slotsPerRank,
    )?.rank;
    if (free === undefined) {
      return [];
    }
    const moved = ranks.map((rank) => (rank === slowest ? free : rank));
    const without = ranks.filter((rank) => rank !== slowest);
    return [
      replace(layer.placement, expert, moved),
      replace(layer.placement, expert, [...ranks, free]),
      ...(without.length > 0 ? [replace(layer.placement, expert, without)] : []),
    ];
  });
};

/** Highest load first, then the next: a plan that lowers the first or shortens the peak is better. */
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
  const slowest = loads.indexOf(peak);
  const present = costOf(layer.placement, layer.counts, options.rankCount);
  const best = relieve(layer, slowest, options)
    .map((placement) => ({
      placement,
      cost: costOf(placement, layer.counts, options.rankCount),
    }))
    .reduce<{ placement: Placement; cost: number } | undefined>(
      (least, candidate) =>
        least === undefined || candidate.cost < least.cost ? candidate : least,
      undefined,
    );
  return best !== undefined && best.cost < present ? best.placement : undefined;
};

const improve = (layer: Layer, options: PlanOptions, movesLeft: number): Placement => {
  const better = movesLeft > 0 ? improveOnce(layer, options) : undefined;
  return better === undefined
    ? layer.placement
    : improve({ ...layer, placement: better }, options, movesLeft - 1);
};

/**
 * Plans the next map for counted tokens; undefined when no layer is skewed enough or can be helped.
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
