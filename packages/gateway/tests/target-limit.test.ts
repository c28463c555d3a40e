/** @module Targets that name the rate of requests that they take from all gateways together. */
import { test } from 'node:test';
import { expect } from 'earl';
import { EventKind, NO_NOTICE, type StoreItem, type TargetNotice } from '../src/index.js';
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
    instanceId === LIMITED ? { maxRequestsPerSecond, invalidFields: [] } : NO_NOTICE;

[0, 0.3, 1, 4].forEach((rate) => {
  test(`one gateway keeps a limit of ${rate}`, { todo: true }, () => {
    const fleet = Fleet.create(1, items([LIMITED, 't-2']));
    serve(fleet, KNOWN_AFTER_MS, 2, limitTo(rate));
    const calls = serve(fleet, 12_000, 2, limitTo(rate));
    expect(highestCount(calls, LIMITED)).toSatisfy((count) => count <= allowedCount(rate));
    expect(calls.length).toEqual(600);
  });

  test(`ten gateways together keep a limit of ${rate}`, { todo: true }, () => {
    const fleet = Fleet.create(10, items([LIMITED, 't-2', 't-3']));
    serve(fleet, KNOWN_AFTER_MS, 10, limitTo(rate));
    const calls = serve(fleet, 12_000, 10, limitTo(rate));
    expect(highestCount(calls, LIMITED)).toSatisfy((count) => count <= allowedCount(rate));
    expect(calls.length).toEqual(1_200);
  });
});
