#!/usr/bin/env node
/** @module Measures queueing and herding of ways to choose a target, on the same arrivals. */
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

const TARGETS = 12;

const CONCURRENCY = 8;

const REQUESTS = 6_000;

/** Mean time between requests; the targets are about 80 % busy. */
const INTERVAL_MS = 6;

const HOLD_MS = 60;

const SAMPLE_MS = 20;

const WAYS: readonly (readonly [string, ChooseTarget])[] = [
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
      targetsPerZone: TARGETS,
      services: [modelService(SERVICE, Continuation.Resume)],
      organisations: ['organisation'],
      concurrency: CONCURRENCY,
      coldConcurrency: 2,
    },
    targetOptions: () => ({
      holdMs: HOLD_MS,
      chunkCount: 16,
      chunkIntervalMs: 25,
      ranKeys: undefined,
      coldMs: 0,
      coldConcurrency: 2,
      healthLagMs: 0,
    }),
  });
  const { emulation } = fleet;
  emulation.runFor(5_000);
  meter.turnOn();
  const startMs = emulation.time.nowMs;
  const random = createRandom(2);
  const agents: CallerAgent[] = [];
  let atMs = 0;
  Array.from({ length: REQUESTS }, (_, index) => {
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
          patienceMs: 60_000,
        }),
      );
    });
    return atMs;
  });
  const herding: number[] = [];
  const look = (): void => {
    const loads = fleet.targets.map(({ callCount }) => callCount);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (mean > 1) {
      herding.push(Math.max(...loads) / mean);
    }
    emulation.time.schedule(SAMPLE_MS, look);
  };
  look();
  emulation.runFor(REQUESTS * INTERVAL_MS + 10_000);
  const seconds = (emulation.time.nowMs - startMs) / 1_000;
  const served = agents.filter(({ final }) => final?.state === AnswerState.Ended);
  const queueing = served.map(
    ({ final }) => (final?.firstChunkMs ?? 0) - (final?.sentMs ?? 0) - HOLD_MS,
  );
  process.stdout.write(
    `${name.padEnd(20)} served ${served.length}/${agents.length}  queueing p50 ` +
      `${percentile(queueing, 0.5).toFixed(1)} ms  p99 ${percentile(queueing, 0.99).toFixed(1)} ms` +
      `  herding ${percentile(herding, 0.5).toFixed(2)}  control ` +
      `${(meter.controlBytes / seconds / (entryCount + TARGETS)).toFixed(0)} bytes/s per process\n`,
  );
};

ENTRY_COUNTS.forEach((entryCount) => {
  process.stdout.write(
    `${entryCount} entry processes, ${TARGETS} targets of ${CONCURRENCY}, ${REQUESTS} requests; ` +
      'herding is the largest load over the mean\n',
  );
  WAYS.forEach(([name, chooseTarget]) => measure(name, chooseTarget, entryCount));
});
