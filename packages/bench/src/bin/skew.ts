#!/usr/bin/env node
/** @module Compares the skew of step times and the cost of rebalancing policies. */
import type { ExpertMap } from '@ebonysill/core';
import { createRandom, createRankFleet } from '@ebonysill/emulator';
import {
  loadOfRanks,
  planMap,
  skewOf,
  type ExpertCounts,
  type PlanOptions,
  type Propose,
} from '@ebonysill/experts';

const RANK_COUNT = 32;

const EXPERT_COUNT = 64;

const LAYER_COUNT = 2;

const STEP_COUNT = 3_000;

/** Steps between changes in the popularity of the experts. */
const DRIFT_STEPS = 300;

/** First step of a festival spike, during which three experts get much more load. */
const SPIKE_FROM = 1_500;

const SPIKE_UNTIL = 1_900;

const SPIKE_FACTOR = 6;

/** Step time when all ranks have the same load. */
const BALANCED_STEP_MS = 20;

/** Time that a rank needs to load the weights of a map. */
const LOAD_MS = 400;

/** Size of the weights of one copy of an expert. */
const EXPERT_MB = 44;

const SEED = 1;

const PLAN: PlanOptions = {
  rankCount: RANK_COUNT,
  slotsPerRank: 4,
  skewThreshold: 1.25,
  maxMovesPerLayer: 24,
};

/** Rebalances even the smallest skew. */
const ALWAYS: PlanOptions = { ...PLAN, skewThreshold: 1, maxMovesPerLayer: 200 };

/**
 * Draws the popularity of the experts of each layer, for each period of `DRIFT_STEPS`; for more
 * than `STEP_COUNT` steps, since `runPolicy` stops only at the end of a virtual second.
 */
const drawPopularity = (): readonly ExpertCounts[] => {
  const random = createRandom(SEED);
  const base = Array.from({ length: LAYER_COUNT }, () =>
    Array.from({ length: EXPERT_COUNT }, () => 20 + 400 * random() ** 4),
  );
  const periods: ExpertCounts[] = [base];
  Array.from({ length: Math.ceil((STEP_COUNT * 2) / DRIFT_STEPS) }, () => {
    const last = periods.at(-1) ?? base;
    periods.push(
      last.map((layer) => layer.map((count) => Math.max(count * (0.6 + 0.8 * random()), 10))),
    );
    return periods.length;
  });
  return periods;
};

const POPULARITY = drawPopularity();

const countsAt = (step: number): ExpertCounts => {
  const period = POPULARITY[Math.floor(step / DRIFT_STEPS)] ?? [];
  const isSpike = step >= SPIKE_FROM && step < SPIKE_UNTIL;
  return period.map((layer) =>
    layer.map((count, expert) => Math.round(isSpike && expert < 3 ? count * SPIKE_FACTOR : count)),
  );
};

const stepMs = (rank: number, map: ExpertMap, step: number): number => {
  const counts = countsAt(step);
  const relativeLoads = map.layers.map((_, layer) => {
    const loads = loadOfRanks(map, counts, layer, RANK_COUNT);
    const mean = loads.reduce((sum, load) => sum + load, 0) / RANK_COUNT;
    return (loads[rank] ?? 0) / mean;
  });
  return (BALANCED_STEP_MS * relativeLoads.reduce((sum, load) => sum + load, 0)) / LAYER_COUNT;
};

/** Counts the copies of experts that `after` has and `before` lacks. */
const countAddedCopies = (before: ExpertMap, after: ExpertMap): number =>
  after.layers.reduce(
    (sum, layer, index) =>
      sum +
      layer.reduce((copies, ranks, expert) => {
        const previousRanks = before.layers[index]?.[expert] ?? [];
        return copies + ranks.filter((rank) => !previousRanks.includes(rank)).length;
      }, 0),
    0,
  );

interface PolicyResult {
  readonly skews: readonly number[];
  readonly changeCount: number;
  readonly movedMb: number;
  /** Time in which no step was running. */
  readonly betweenStepsMs: number;
}

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
};

const runPolicy = (propose: Propose): PolicyResult => {
  let movedMb = 0;
  let changeCount = 0;
  let lastMap: ExpertMap | undefined;
  const skews: number[] = [];
  const fleet = createRankFleet({
    seed: SEED,
    rankCount: RANK_COUNT,
    layerCount: LAYER_COUNT,
    expertCount: EXPERT_COUNT,
    loadMs: LOAD_MS,
    propose: (rank) => (rank === 0 ? propose : () => undefined),
    countsAt,
    stepMs: (rank, map, step) => {
      if (rank === 0) {
        if (lastMap !== undefined && lastMap.mapId !== map.mapId) {
          movedMb += countAddedCopies(lastMap, map) * EXPERT_MB;
          changeCount += 1;
        }
        lastMap = map;
        skews.push(skewOf(map, countsAt(step), RANK_COUNT));
      }
      return stepMs(rank, map, step);
    },
  });
  const { emulation, group } = fleet;
  const runToEnd = (): void => {
    if (group.stepCount < STEP_COUNT) {
      emulation.runFor(1_000);
      runToEnd();
    }
  };
  runToEnd();
  const busyMs = group.stepDurationsMs.reduce((sum, time) => sum + time, 0);
  return { skews, changeCount, movedMb, betweenStepsMs: emulation.time.nowMs - busyMs };
};

/**
 * Skew of a greedy placement of whole copies, as a reference for the policies: spare slots go to
 * the experts with the most load per copy, then the copies with the most load are placed first,
 * each on the least loaded rank.
 */
const greedySkew = (step: number): number => {
  const counts = countsAt(step);
  const slots = RANK_COUNT * PLAN.slotsPerRank;
  const layerSkews = counts.map((layer) => {
    const copies = layer.map(() => 1);
    Array.from({ length: slots - EXPERT_COUNT }, () => {
      const shares = layer.map((count, expert) => count / (copies[expert] ?? 1));
      const mostLoaded = shares.indexOf(Math.max(...shares));
      copies[mostLoaded] = Math.min((copies[mostLoaded] ?? 1) + 1, RANK_COUNT);
      return mostLoaded;
    });
    const loads = Array.from({ length: RANK_COUNT }, () => 0);
    layer
      .flatMap((count, expert) =>
        Array.from({ length: copies[expert] ?? 1 }, () => count / (copies[expert] ?? 1)),
      )
      .sort((left, right) => right - left)
      .forEach((share) => {
        const leastLoaded = loads.indexOf(Math.min(...loads));
        loads[leastLoaded] = (loads[leastLoaded] ?? 0) + share;
      });
    const mean = loads.reduce((sum, load) => sum + load, 0) / RANK_COUNT;
    return Math.max(...loads) / mean;
  });
  return layerSkews.reduce((sum, value) => sum + value, 0) / layerSkews.length;
};

const POLICIES: readonly (readonly [string, Propose])[] = [
  ['never', () => undefined],
  ['always', (counts, current) => planMap(current, counts, ALWAYS)],
  ['with threshold', (counts, current) => planMap(current, counts, PLAN)],
];

process.stdout.write(
  `${RANK_COUNT} ranks, ${EXPERT_COUNT} experts a layer, ${LAYER_COUNT} layers, ${STEP_COUNT} steps, drift every ` +
    `${DRIFT_STEPS}, spike at ${SPIKE_FROM} to ${SPIKE_UNTIL}; skew is max/mean step time\n`,
);
POLICIES.forEach(([name, propose]) => {
  const { skews, changeCount, movedMb, betweenStepsMs } = runPolicy(propose);
  process.stdout.write(
    `${name.padEnd(15)} p50 ${percentile(skews, 0.5).toFixed(3)}  p99 ` +
      `${percentile(skews, 0.99).toFixed(3)}  changes ${String(changeCount).padStart(3)}  moved ` +
      `${(movedMb / 1_000).toFixed(1)} GB  between steps ${betweenStepsMs.toFixed(0)} ms\n`,
  );
});
const greedySkews = Array.from({ length: STEP_COUNT / DRIFT_STEPS }, (_, index) =>
  greedySkew(index * DRIFT_STEPS),
);
process.stdout.write(
  `greedy bound    p50 ${percentile(greedySkews, 0.5).toFixed(3)}  p99 ` +
    `${percentile(greedySkews, 0.99).toFixed(3)}  (knows the popularity, moves for free)\n`,
);
