/** @module Holds that an agent retains or releases, and the requests and deltas around them. */
import { test } from 'node:test';
import type { RankReport } from '@ebonysill/gateway';
import { expect } from 'earl';
import HoldTracker from '../src/HoldTracker.js';
import { ChangePhase, MapChange } from '../src/map-change.js';
import ExpertCountDelta from '../src/ExpertCountDelta.js';

const reportOf = (heldStep: number, epoch = 1): RankReport => ({
  groupName: 'g-1',
  epoch,
  rank: 0,
  rankCount: 4,
  isOpen: true,
  step: 10,
  mapVersion: 0,
  preparedVersion: 0,
  armedVersion: 0,
  heldStep,
  runningCount: 0,
  waitingCount: 0,
  pace: 1,
});

interface Fixture {
  readonly tracker: HoldTracker;
  readonly wait: (spanMs: number) => void;
  readonly suspend: (spanMs: number) => void;
}

const createFixture = (): Fixture => {
  let nowMs = 0;
  let suspendedMs = 0;
  return {
    tracker: HoldTracker.create({
      nowMs: () => nowMs,
      suspendAwareMs: () => nowMs + suspendedMs,
      random: () => 0.5,
    }),
    wait: (spanMs) => {
      nowMs += spanMs;
    },
    suspend: (spanMs) => {
      suspendedMs += spanMs;
    },
  };
};

test('releases a hold that no driver confirms', () => {
  const { tracker, wait } = createFixture();
  tracker.recordReport(reportOf(0));
  tracker.recordReport(reportOf(12));
  expect(tracker.abandonedStep()).toEqual(undefined);
  wait(250);
  expect(tracker.abandonedStep()).toEqual(12);
});

// Guards against a group that stands still for longer because the clock of its agent did.
test('suspended time counts in the age of a hold that no driver confirms', () => {
  const { tracker, suspend } = createFixture();
  tracker.recordReport(reportOf(0));
  tracker.recordReport(reportOf(12));
  suspend(250);
  expect(tracker.abandonedStep()).toEqual(12);
});

test('retains a confirmed hold', () => {
  const { tracker, wait } = createFixture();
  tracker.recordReport(reportOf(0));
  tracker.recordReport(reportOf(12));
  expect(tracker.confirm(1, 12)).toEqual(true);
  wait(10_000);
  expect(tracker.abandonedStep()).toEqual(undefined);
});

test('neither releases nor confirms a hold that it did not see begin', () => {
  const { tracker, wait } = createFixture();
  tracker.recordReport(reportOf(12));
  wait(10_000);
  expect(tracker.abandonedStep()).toEqual(undefined);
  expect(tracker.confirm(1, 12)).toEqual(false);
});

test('does not confirm a step whose release may be in flight', () => {
  const { tracker } = createFixture();
  tracker.recordReport(reportOf(0));
  tracker.recordReport(reportOf(12));
  tracker.recordRelease(12);
  tracker.recordReport(reportOf(0));
  tracker.recordReport(reportOf(12));
  expect(tracker.confirm(1, 12)).toEqual(false);
  tracker.recordReport(reportOf(13));
  expect(tracker.confirm(1, 13)).toEqual(true);
});

test('a new epoch resets released steps and holds', () => {
  const { tracker } = createFixture();
  tracker.recordReport(reportOf(0));
  tracker.recordRelease(40);
  tracker.recordReport(reportOf(0, 2));
  tracker.recordReport(reportOf(12, 2));
  expect(tracker.confirm(1, 12)).toEqual(false);
  expect(tracker.confirm(2, 12)).toEqual(true);
});

test('chooses a step after the last held step', () => {
  const change = MapChange.create({
    epoch: 1,
    version: 1_024,
    placement: [],
    holderRank: 1,
    lastHeldStep: 12,
    nowMs: () => 0,
  });
  expect(change.phase).toEqual(ChangePhase.Preparing);
  expect(change.chooseStep(10, 2)).toEqual(13);
  expect(change.chooseStep(20, 2)).toEqual(22);
});

test('limits due ranks per call and repeats them after the interval', () => {
  let nowMs = 0;
  const change = MapChange.create({
    epoch: 1,
    version: 1_024,
    placement: [],
    holderRank: 1,
    lastHeldStep: 0,
    nowMs: () => nowMs,
  });
  const ranks = [0, 1, 2].map((rank) => ({
    agentAddress: `10.0.0.${rank}:7000`,
    engineAddress: `10.0.0.${rank}:80`,
    report: { ...reportOf(0), rank },
    asOf: { atMs: 0, atSuspendAwareMs: 0 },
  }));
  const takeDue = (): readonly number[] =>
    change.takeRanksDue(ranks, 800, 2).map(({ report }) => report.rank);
  expect(takeDue()).toEqual([0, 1]);
  expect(takeDue()).toEqual([2]);
  expect(takeDue()).toEqual([]);
  nowMs = 800;
  expect(takeDue()).toEqual([0, 1]);
});

test('records counts as scaled differences, also after a restart', () => {
  const countDelta = ExpertCountDelta.create();
  const rankCounts = { epoch: 1, mapVersion: 0, experts: [[0, 1]] };
  expect(countDelta.record({ ...rankCounts, counts: [[100, 200]] })).toEqual(undefined);
  expect(countDelta.record({ ...rankCounts, counts: [[110, 1_470]] })).toEqual({
    counts: [[1, 127]],
    unit: 10,
    mapVersion: 0,
    experts: [[0, 1]],
  });
  expect(countDelta.record({ ...rankCounts, counts: [[4, 8]] })?.counts).toEqual([[4, 8]]);
});
