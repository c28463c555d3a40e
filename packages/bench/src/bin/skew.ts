#!/usr/bin/env node
/** @module Measures step-time skew and the cost of rebalancing, against never and always. */
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

const RANKS = 32;

const EXPERTS = 64;

const LAYERS = 2;

const STEPS = 3_000;

/** Steps between drifts of popularity. */
const DRIFT_STEPS = 300;

/** Steps of the festival spike, in which a few experts take much more. */
const SPIKE_FROM = 1_500;

const SPIKE_UNTIL = 1_900;

const SPIKE_FACTOR = 6;

/** Step time when all ranks carry the same. */
const BALANCED_STEP_MS = 20;

const LOAD_MS = 400;

const EXPERT_MB = 44;

const SEED = 1;

const PLAN: PlanOptions = {
  rankCount: RANKS,
  slotsPerRank: 4,
  skewThreshold: 1.25,
  maxMovesPerLayer: 24,
};

const ALWAYS: PlanOptions = { ...PLAN, skewThreshold: 1, maxMovesPerLayer: 200 };

/** Popularity of the experts of each layer in each period between drifts. */
const drawPopularity = (): readonly ExpertCounts[] => {
  const random = createRandom(SEED);
  const base = Array.from({ length: LAYERS }, () =>
    Array.from({ length: EXPERTS }, () => 20 + 400 * random() ** 4),
  );
  const periods: ExpertCounts[] = [base];
  Array.from({ length: Math.ceil((STEPS * 2) / DRIFT_STEPS) }, () => {
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
  const times = map.layers.map((_, layer) => {
    const loads = loadOfRanks(map, counts, layer, RANKS);
    const mean = loads.reduce((sum, load) => sum + load, 0) / RANKS;
    return (loads[rank] ?? 0) / mean;
  });
  return (BALANCED_STEP_MS * times.reduce((sum, time) => sum + time, 0)) / LAYERS;
};

/** Copies of experts that a map has and another lacks. */
const copiesAdded = (before: ExpertMap, after: ExpertMap): number =>
  after.layers.reduce(
    (sum, layer, index) =>
      sum +
      layer.reduce((copies, ranks, expert) => {
        const held = before.layers[index]?.[expert] ?? [];
        return copies + ranks.filter((rank) => !held.includes(rank)).length;
      }, 0),
    0,
  );

interface PolicyResult {
  readonly skews: readonly number[];
  readonly changes: number;
  readonly movedMb: number;
  readonly heldMs: number;
}

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
};

const runPolicy = (propose: Propose): PolicyResult => {
  let movedMb = 0;
  let changes = 0;
  let lastMap: ExpertMap | undefined;
  const skews: number[] = [];
  const fleet = createRankFleet({
    seed: SEED,
    rankCount: RANKS,
    layerCount: LAYERS,
    expertCount: EXPERTS,
    loadMs: LOAD_MS,
    propose: (rank) => (rank === 0 ? propose : () => undefined),
    countsAt,
    stepMs: (rank, map, step) => {
      if (rank === 0) {
        if (lastMap !== undefined && lastMap.mapId !== map.mapId) {
          movedMb += copiesAdded(lastMap, map) * EXPERT_MB;
          changes += 1;
        }
        lastMap = map;
        skews.push(skewOf(map, countsAt(step), RANKS));
      }
      return stepMs(rank, map, step);
    },
  });
  const { emulation, group } = fleet;
  const runOn = (): void => {
    if (group.stepCount < STEPS) {
      emulation.runFor(1_000);
      runOn();
    }
  };
  runOn();
  const busyMs = group.stepTimes.reduce((sum, time) => sum + time, 0);
  return { skews, changes, movedMb, heldMs: emulation.time.nowMs - busyMs };
};

/** Best skew that whole copies allow: the most popular copies first, each to the least loaded rank. */
const greedyBound = (step: number): number => {
  const counts = countsAt(step);
  const slots = RANKS * PLAN.slotsPerRank;
  const slowest = counts.map((layer) => {
    const copies = layer.map(() => 1);
    Array.from({ length: slots - EXPERTS }, () => {
      const shares = layer.map((count, expert) => count / (copies[expert] ?? 1));
      const hottest = shares.indexOf(Math.max(...shares));
      copies[hottest] = Math.min((copies[hottest] ?? 1) + 1, RANKS);
      return hottest;
    });
    const loads = Array.from({ length: RANKS }, () => 0);
    layer
      .flatMap((count, expert) =>
        Array.from({ length: copies[expert] ?? 1 }, () => count / (copies[expert] ?? 1)),
      )
      .sort((left, right) => right - left)
      .forEach((share) => {
        const least = loads.indexOf(Math.min(...loads));
        loads[least] = (loads[least] ?? 0) + share;
      });
    const mean = loads.reduce((sum, load) => sum + load, 0) / RANKS;
    return Math.max(...loads) / mean;
  });
  return slowest.reduce((sum, value) => sum + value, 0) / slowest.length;
};

const policies: readonly (readonly [string, Propose])[] = [
  ['never', () => undefined],
  ['always', (counts, current) => planMap(current, counts, ALWAYS)],
  ['with threshold', (counts, current) => planMap(current, counts, PLAN)],
];

process.stdout.write(
  `${RANKS} ranks, ${EXPERTS} experts a layer, ${LAYERS} layers, ${STEPS} steps, drift every ` +
    `${DRIFT_STEPS}, spike at ${SPIKE_FROM} to ${SPIKE_UNTIL}; skew is max/mean step time\n`,
);
policies.forEach(([name, propose]) => {
  const { skews, changes, movedMb, heldMs } = runPolicy(propose);
  process.stdout.write(
    `${name.padEnd(15)} p50 ${percentile(skews, 0.5).toFixed(3)}  p99 ` +
      `${percentile(skews, 0.99).toFixed(3)}  changes ${String(changes).padStart(3)}  moved ` +
      `${(movedMb / 1_000).toFixed(1)} GB  between steps ${heldMs.toFixed(0)} ms\n`,
  );
});
const bounds = Array.from({ length: STEPS / DRIFT_STEPS }, (_, index) =>
  greedyBound(index * DRIFT_STEPS),
);
process.stdout.write(
  `greedy bound    p50 ${percentile(bounds, 0.5).toFixed(3)}  p99 ` +
    `${percentile(bounds, 0.99).toFixed(3)}  (knows the popularity, moves for free)\n`,
);
