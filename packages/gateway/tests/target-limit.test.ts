/** @module Targets that name the rate of requests that they take from all gateways together. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  CallStage,
  EffectKind,
  EventKind,
  NO_NOTICE,
  type Effect,
  type StoreItem,
  type TargetNotice,
} from '../src/index.js';
import { Fleet, type FleetCall } from './fleet.js';
import {
  configurationItem,
  configurationOf,
  headOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const LIMITED = 't-1';

const WINDOW_MS = 4_000;

/** From then on the limit binds all gateways. */
const KNOWN_AFTER_MS = 3_000;

/** Requests that a target may get within the window. */
const allowedCount = (maxRequestsPerSecond: number): number =>
  1.5 * maxRequestsPerSecond * (WINDOW_MS / 1_000) + 5;

const items = (instanceIds: readonly string[]): readonly StoreItem[] => [
  configurationItem(configurationOf(1, [routeOf()])),
  ...instanceIds.map((instanceId) => targetItem(targetOf(instanceId))),
];

/** Answers a call at once, as `noticeOf` its target says. */
const answer = (call: FleetCall, notice: TargetNotice): void => {
  const { gateway, callId } = call;
  gateway.post({ kind: EventKind.TargetHeadReceived, callId, head: headOf({ notice }) });
  gateway.post({ kind: EventKind.TargetAnswerEnded, callId });
};

/** Runs a fleet with a request at each gateway in each `steps` steps; targets answer at once. */
const serve = (
  fleet: Fleet,
  spanMs: number,
  steps: number,
  noticeOf: (instanceId: string) => TargetNotice,
): readonly FleetCall[] => {
  const before = fleet.calls.length;
  let answeredCount = before;
  let step = 0;
  fleet.run(spanMs, () => {
    fleet.calls.slice(answeredCount).forEach((call) => answer(call, noticeOf(call.instanceId)));
    answeredCount = fleet.calls.length;
    fleet.harnesses.forEach((harness, index) => {
      if ((step + index) % steps === 0) {
        harness.request();
      }
    });
    step += 1;
  });
  return fleet.calls.slice(before);
};

/** Highest number of calls at a target within the window. */
const highestCount = (calls: readonly FleetCall[], instanceId: string): number => {
  const times = calls.filter((call) => call.instanceId === instanceId).map(({ atMs }) => atMs);
  return Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + WINDOW_MS).length),
  );
};

const limitTo =
  (maxRequestsPerSecond: number) =>
  (instanceId: string): TargetNotice =>
    instanceId === LIMITED ? { ...NO_NOTICE, maxRequestsPerSecond } : NO_NOTICE;

[0, 0.3, 1, 4].forEach((rate) => {
  test(`one gateway keeps a limit of ${rate}`, () => {
    const fleet = Fleet.create(1, items([LIMITED, 't-2']));
    serve(fleet, KNOWN_AFTER_MS, 2, limitTo(rate));
    const calls = serve(fleet, 12_000, 2, limitTo(rate));
    expect(highestCount(calls, LIMITED)).toSatisfy((count) => count <= allowedCount(rate));
    expect(calls.length).toEqual(600);
  });

  test(`ten gateways together keep a limit of ${rate}`, () => {
    const fleet = Fleet.create(10, items([LIMITED, 't-2', 't-3']));
    serve(fleet, KNOWN_AFTER_MS, 10, limitTo(rate));
    const calls = serve(fleet, 12_000, 10, limitTo(rate));
    expect(highestCount(calls, LIMITED)).toSatisfy((count) => count <= allowedCount(rate));
    expect(calls.length).toEqual(1_200);
  });
});

test('gateways that lose messages keep a limit', () => {
  let sentCount = 0;
  const fleet = Fleet.create(10, items([LIMITED, 't-2', 't-3']), () => {
    sentCount += 1;
    return sentCount % 10 === 0;
  });
  serve(fleet, KNOWN_AFTER_MS, 10, limitTo(2));
  const calls = serve(fleet, 12_000, 10, limitTo(2));
  expect(highestCount(calls, LIMITED)).toSatisfy((count) => count <= allowedCount(2));
});

test('a limited target is used at its limit', () => {
  const fleet = Fleet.create(10, items([LIMITED, 't-2']));
  serve(fleet, KNOWN_AFTER_MS, 10, limitTo(2));
  const calls = serve(fleet, 20_000, 10, limitTo(2));
  const count = calls.filter(({ instanceId }) => instanceId === LIMITED).length;
  expect(count).toSatisfy((value) => value >= 35 && value <= 45);
});

test('a target is used as before when it names no limit any more', () => {
  const fleet = Fleet.create(10, items([LIMITED, 't-2']));
  serve(fleet, KNOWN_AFTER_MS, 10, limitTo(1));
  serve(fleet, 2_000, 10, () => NO_NOTICE);
  const calls = serve(fleet, 2_000, 10, () => NO_NOTICE);
  const count = calls.filter(({ instanceId }) => instanceId === LIMITED).length;
  expect(count).toSatisfy((value) => value > calls.length / 3);
});

test('a gateway that missed a limit learns of it from others', () => {
  const isCut = { value: true };
  const fleet = Fleet.create(
    3,
    items([LIMITED]),
    (from, to) => isCut.value && [from, to].includes('10.0.0.3:7000'),
  );
  const [first, , last] = fleet.harnesses;
  first?.request();
  fleet.run(20);
  fleet.calls.forEach((call) => answer(call, limitTo(1)(LIMITED)));
  fleet.run(2_000);
  isCut.value = false;
  fleet.run(4_000);
  Array.from({ length: 10 }, () => last?.request());
  expect(last?.calledIds().length ?? 0).toSatisfy((count) => count <= 2);
});

/** A gateway whose only targets have just named a limit of one request in two seconds. */
const limitedGateway = (instanceIds: readonly string[]): Fleet => {
  const fleet = Fleet.create(1, items(instanceIds));
  fleet.harnesses.forEach((harness) => {
    instanceIds.forEach(() => {
      harness.request();
    });
  });
  fleet.run(20);
  fleet.calls.forEach((call) => answer(call, { ...NO_NOTICE, maxRequestsPerSecond: 0.5 }));
  return fleet;
};

const retryAfterOf = (effects: readonly Effect[]): number | undefined =>
  effects
    .flatMap((effect) => (effect.kind === EffectKind.SendAnswer ? [effect.retryAfterMs] : []))
    .at(-1);

test('a request for which every target is at its limit is refused at once', () => {
  const [harness] = limitedGateway(['t-1', 't-2']).harnesses;
  const effects = harness?.request() ?? [];
  expect(harness?.calledIds().length).toEqual(2);
  expect(harness?.statuses().at(-1)).toEqual(503);
  expect(retryAfterOf(effects)).toEqual(2_000);
});

test('a retry is not sent to a target at its limit', () => {
  const [harness] = limitedGateway(['t-1', 't-2']).harnesses;
  harness?.advance(3_200);
  harness?.request();
  harness?.advance(100);
  harness?.request();
  const callId = harness?.lastCallId() ?? 0;
  const before = harness?.calledIds().length;
  harness?.post({
    kind: EventKind.TargetCallFailed,
    callId,
    stage: CallStage.Sent,
    detail: 'reset',
  });
  expect(before).toEqual(4);
  expect(harness?.calledIds().length).toEqual(4);
});

test('an unsigned answer does not end a limit', () => {
  const [harness] = limitedGateway(['t-1']).harnesses;
  harness?.advance(3_200);
  harness?.request();
  const callId = harness?.lastCallId() ?? 0;
  const head = headOf({ isSigned: false, status: 500 });
  harness?.post({ kind: EventKind.TargetHeadReceived, callId, head });
  harness?.post({ kind: EventKind.TargetAnswerEnded, callId });
  harness?.request();
  expect(harness?.calledIds().length).toEqual(2);
});

// Guards against an answer that waited while this process was frozen and ends a limit stated since.
test('an answer to an earlier call does not end a limit', () => {
  const fleet = Fleet.create(1, items(['t-1']));
  const [harness] = fleet.harnesses;
  harness?.request();
  harness?.request();
  fleet.run(20);
  const [early, late] = fleet.calls;
  fleet.run(100);
  if (early !== undefined && late !== undefined) {
    answer(late, { ...NO_NOTICE, maxRequestsPerSecond: 0.5 });
    answer(early, NO_NOTICE);
  }
  harness?.request();
  expect(harness?.statuses().at(-1)).toEqual(503);
});
