#!/usr/bin/env node
/** @module Compares queueing and herding of routing policies under the same arrivals. */
import { Continuation } from '@ebonysill/core';
import {
  AnswerState,
  CallerAgent,
  createFleet,
  createRandom,
  modelService,
} from '@ebonysill/emulator';
import {
  chooseAny,
  chooseCheapest,
  chooseLeastReported,
  chooseOfTwo,
  type ChooseTarget,
} from '@ebonysill/entry';
import ByteMeter from '../capacity/ByteMeter.js';

const SERVICE = 'assistant';

const SEED = 1;

const ENTRY_COUNTS: readonly number[] = [8, 48];

const TARGET_COUNT = 12;

const CONCURRENCY = 8;

const REQUEST_COUNT = 6_000;

/** Mean time between requests; the targets are about 80 % busy. */
const INTERVAL_MS = 6;

/** Time between the arrival of a call at its target and its run. */
const HOLD_MS = 60;

const SAMPLE_INTERVAL_MS = 20;

const POLICIES: readonly (readonly [string, ChooseTarget])[] = [
  ['random', chooseAny],
  ['least reported load', chooseLeastReported],
  ['cheaper of two', chooseOfTwo],
  ['cheapest', chooseCheapest],
];

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
};

const measure = (name: string, chooseTarget: ChooseTarget, entryCount: number): void => {
  const meter = ByteMeter.create(() => true);
  const fleet = createFleet({
    seed: SEED,
    chooseTarget,
    onSend: meter.onSend,
    entryCount,
    shape: {
      zones: ['zone-a'],
      targetsPerZone: TARGET_COUNT,
      services: [modelService(SERVICE, Continuation.Resume)],
      organisations: ['organisation'],
      concurrency: CONCURRENCY,
      coldConcurrency: 2,
    },
    targetOptions: () => ({
      holdMs: HOLD_MS,
      chunkCount: 16,
      chunkIntervalMs: 25,
      executedKeys: undefined,
      coldMs: 0,
      coldConcurrency: 2,
      healthLagMs: 0,
    }),
  });
  const { emulation } = fleet;
  emulation.runFor(5_000);
  meter.start();
  const startMs = emulation.time.nowMs;
  const random = createRandom(2);
  const agents: CallerAgent[] = [];
  let atMs = 0;
  Array.from({ length: REQUEST_COUNT }, (_, index) => {
    atMs += -Math.log(1 - random()) * INTERVAL_MS;
    emulation.time.schedule(atMs, () => {
      agents.push(
        CallerAgent.create(emulation, {
          service: SERVICE,
          body: `request-${index}`,
          organisationId: 'organisation',
          isKeyed: false,
          entryIds: [`entry-${1 + Math.floor(random() * entryCount)}`],
          maxSends: 1,
          answerTimeoutMs: 60_000,
        }),
      );
    });
    return atMs;
  });
  const herdingRatios: number[] = [];
  const sampleLoads = (): void => {
    const loads = fleet.targets.map(({ callCount }) => callCount);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (mean > 1) {
      herdingRatios.push(Math.max(...loads) / mean);
    }
    emulation.time.schedule(SAMPLE_INTERVAL_MS, sampleLoads);
  };
  sampleLoads();
  emulation.runFor(REQUEST_COUNT * INTERVAL_MS + 10_000);
  const seconds = (emulation.time.nowMs - startMs) / 1_000;
  const served = agents.filter(({ finalAnswer }) => finalAnswer?.state === AnswerState.Ended);
  const queueingTimesMs = served.map(
    ({ finalAnswer }) =>
      (finalAnswer?.firstChunkAtMs ?? 0) - (finalAnswer?.sentAtMs ?? 0) - HOLD_MS,
  );
  process.stdout.write(
    `${name.padEnd(20)} served ${served.length}/${agents.length}  queueing p50 ` +
      `${percentile(queueingTimesMs, 0.5).toFixed(1)} ms  p99 ${percentile(queueingTimesMs, 0.99).toFixed(1)} ms` +
      `  herding ${percentile(herdingRatios, 0.5).toFixed(2)}  control ` +
      `${(meter.controlBytes / seconds / (entryCount + TARGET_COUNT)).toFixed(0)} bytes/s per process\n`,
  );
};

ENTRY_COUNTS.forEach((entryCount) => {
  process.stdout.write(
    `${entryCount} entry processes, ${TARGET_COUNT} targets of ${CONCURRENCY}, ${REQUEST_COUNT} requests; ` +
      'herding is the largest load over the mean\n',
  );
  POLICIES.forEach(([name, chooseTarget]) => measure(name, chooseTarget, entryCount));
});
