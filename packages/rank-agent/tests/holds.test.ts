/** @module Which holds an agent keeps, and which it gives up. */
import { test } from 'node:test';
import type { RankReport } from '@ebonysill/gateway';
import { expect } from 'earl';
import HoldKeeper from '../src/HoldKeeper.js';
import { ChangePhase, MapChange } from '../src/map-change.js';
import TallyDifference from '../src/TallyDifference.js';

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

interface Scene {
  readonly keeper: HoldKeeper;
  readonly wait: (spanMs: number) => void;
}

const sceneOf = (): Scene => {
  let nowMs = 0;
  return {
    keeper: HoldKeeper.create(() => nowMs),
    wait: (spanMs) => {
      nowMs += spanMs;
    },
  };
};

test('gives up a hold that nobody confirms', () => {
  const { keeper, wait } = sceneOf();
  keeper.note(reportOf(0));
  keeper.note(reportOf(12));
  expect(keeper.abandoned()).toEqual(undefined);
  wait(250);
  expect(keeper.abandoned()).toEqual(12);
});

test('keeps a hold that was confirmed', () => {
  const { keeper, wait } = sceneOf();
  keeper.note(reportOf(0));
  keeper.note(reportOf(12));
  expect(keeper.confirm(1, 12)).toEqual(true);
  wait(10_000);
  expect(keeper.abandoned()).toEqual(undefined);
});

test('judges no hold from before its life', () => {
  const { keeper, wait } = sceneOf();
  keeper.note(reportOf(12));
  wait(10_000);
  expect(keeper.abandoned()).toEqual(undefined);
  expect(keeper.confirm(1, 12)).toEqual(false);
});

test('relies on no step whose release may be on its way', () => {
  const { keeper } = sceneOf();
  keeper.note(reportOf(0));
  keeper.note(reportOf(12));
  keeper.noteRelease(12);
  keeper.note(reportOf(0));
  keeper.note(reportOf(12));
  expect(keeper.confirm(1, 12)).toEqual(false);
  keeper.note(reportOf(13));
  expect(keeper.confirm(1, 13)).toEqual(true);
});

test('begins anew with an epoch', () => {
  const { keeper } = sceneOf();
  keeper.note(reportOf(0));
  keeper.noteRelease(40);
  keeper.note(reportOf(0, 2));
  keeper.note(reportOf(12, 2));
  expect(keeper.confirm(1, 12)).toEqual(false);
  expect(keeper.confirm(2, 12)).toEqual(true);
});

test('a driver holds no step twice', () => {
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

test('asks ranks in portions', () => {
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
    heardAtMs: 0,
  }));
  const asked = (): readonly number[] =>
    change.chooseDue(ranks, 800, 2).map(({ report }) => report.rank);
  expect(asked()).toEqual([0, 1]);
  expect(asked()).toEqual([2]);
  expect(asked()).toEqual([]);
  nowMs = 800;
  expect(asked()).toEqual([0, 1]);
});

test('tells what counts added', () => {
  const difference = TallyDifference.create();
  const tally = { epoch: 1, mapVersion: 0, experts: [[0, 1]] };
  expect(difference.note({ ...tally, counts: [[100, 200]] })).toEqual(undefined);
  expect(difference.note({ ...tally, counts: [[110, 1_470]] })).toEqual({
    counts: [[1, 127]],
    unit: 10,
    mapVersion: 0,
    experts: [[0, 1]],
  });
  expect(difference.note({ ...tally, counts: [[4, 8]] })?.counts).toEqual([[4, 8]]);
});
