#!/usr/bin/env node
/** @module Measures time and traffic until a new revision is in force in a whole fleet. */
import { ServiceName } from '@ebonysill/core';
import type { Fleet } from '@ebonysill/emulator';
import ByteMeter from '../capacity/ByteMeter.js';
import { BASE_SIZE, startCapacityFleet } from '../capacity/capacity-fleet.js';
import { fitLine, type Point } from '../capacity/linear-fit.js';

const FLEET_SIZES: readonly number[] = [16, 64, 256, 512];

/** Entry processes that read the configuration service; all others get it from peers. */
const READER_COUNT = 2;

/** Entry processes as a fraction of all processes. */
const ENTRY_SHARE = 0.25;

const POLL_INTERVAL_MS = 5;

const WAIT_TIMEOUT_MS = 60_000;

const CHANGE_COUNT = 5;

const CHANGE_INTERVAL_MS = 10_000;

const isInForceEverywhere = ({ entries, sidecars }: Fleet, revision: number): boolean =>
  [...entries, ...sidecars].every(
    (process) => process.find(ServiceName.Configuration).revision() === revision,
  );

/** Runs until the revision is in force in every process; returns the time, at most the timeout. */
const waitUntilInForce = (fleet: Fleet, revision: number, waitedMs: number): number => {
  if (isInForceEverywhere(fleet, revision) || waitedMs >= WAIT_TIMEOUT_MS) {
    return waitedMs;
  }
  fleet.emulation.runFor(POLL_INTERVAL_MS);
  return waitUntilInForce(fleet, revision, waitedMs + POLL_INTERVAL_MS);
};

interface SpreadResult {
  readonly worstMs: number;
  readonly bytesPerChange: number;
  readonly readsPerChange: number;
}

const measureSpread = (processCount: number): SpreadResult => {
  const meter = ByteMeter.create(() => true);
  const entryCount = processCount * ENTRY_SHARE;
  const fleet = startCapacityFleet(
    { ...BASE_SIZE, entryCount, targetsPerService: processCount - entryCount },
    { onSend: meter.onSend },
    READER_COUNT,
  );
  fleet.emulation.runFor(CHANGE_INTERVAL_MS);
  const { configurationService } = fleet.emulation;
  const readsBefore = configurationService.callCount;
  meter.start();
  const times = Array.from({ length: CHANGE_COUNT }, (_, index) => {
    fleet.publish(index + 2, index % 2 === 0 ? ['zone-a'] : []);
    const timeMs = waitUntilInForce(fleet, index + 2, 0);
    fleet.emulation.runFor(CHANGE_INTERVAL_MS - timeMs);
    return timeMs;
  });
  return {
    worstMs: Math.max(...times),
    bytesPerChange: meter.controlBytes / CHANGE_COUNT / processCount,
    readsPerChange: (configurationService.callCount - readsBefore) / CHANGE_COUNT,
  };
};

const points: Point[] = [];
FLEET_SIZES.forEach((processCount) => {
  const { worstMs, bytesPerChange, readsPerChange } = measureSpread(processCount);
  points.push({ size: Math.log2(processCount), value: worstMs });
  process.stdout.write(
    `${String(processCount).padStart(4)} processes: in force everywhere after ${worstMs} ms at ` +
      `worst, ${bytesPerChange.toFixed(0)} control bytes per process and change, ` +
      `${readsPerChange.toFixed(1)} reads of the service per change\n`,
  );
});
const { slope, intercept, relativeResidual } = fitLine(points);
process.stdout.write(
  `slope ${slope.toFixed(1)} ms per doubling, at one process ${intercept.toFixed(1)} ms, ` +
    `residual ${(100 * relativeResidual).toFixed(1)} %; at 2,370 processes ` +
    `${(intercept + slope * Math.log2(2_370)).toFixed(0)} ms\n`,
);
