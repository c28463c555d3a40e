/** @module Targets that say that they leave. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  CallKind,
  CallStage,
  EffectKind,
  EventKind,
  ItemKind,
  ItemScope,
  LogTopic,
  NO_NOTICE,
  StoreReadKind,
  type Effect,
  type PublishedTarget,
  type TargetHead,
  type TargetNotice,
} from '../src/index.js';
import { Fleet } from './fleet.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  headOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const LEAVING: TargetNotice = { ...NO_NOTICE, isLeaving: true };

const ROUTES = [
  routeOf({ maxAttempts: 3 }),
  routeOf({
    name: 'r-2',
    pathPrefix: '/s/',
    kind: CallKind.Streaming,
    isResumable: true,
    maxAttempts: 3,
    timeoutMs: 8_000,
  }),
];

const STARTED = { startedAtMs: 1_000 };

const gateway = (...targets: readonly PublishedTarget[]): Harness =>
  Harness.create([
    configurationItem(configurationOf(1, ROUTES)),
    ...targets.map((target) => targetItem(target)),
  ]);

const receiveHead = (harness: Harness, changes: Partial<TargetHead>): readonly Effect[] =>
  harness.post({
    kind: EventKind.TargetHeadReceived,
    callId: harness.lastCallId(),
    head: headOf(changes),
  });

const endAnswer = (harness: Harness): readonly Effect[] =>
  harness.post({ kind: EventKind.TargetAnswerEnded, callId: harness.lastCallId() });

/** Sends a request that is answered with this head; returns the last effects. */
const exchange = (harness: Harness, changes: Partial<TargetHead>): readonly Effect[] => {
  harness.request();
  receiveHead(harness, changes);
  return endAnswer(harness);
};

/** Identifiers of the targets of thirty requests. */
const usedIds = (harness: Harness): readonly string[] => {
  const before = harness.calledIds().length;
  Array.from({ length: 30 }, () => harness.request());
  harness.disconnectCallers();
  return [...new Set(harness.calledIds().slice(before))].sort();
};

test('a target that says that it leaves gets no further request', () => {
  const harness = gateway(targetOf('t-1', STARTED));
  exchange(harness, { notice: LEAVING });
  harness.advance(600_000);
  harness.request();
  expect(harness.calledIds()).toEqual(['t-1']);
  expect(harness.statuses()).toEqual([200, 503]);
});

[
  { status: 503, isNotRun: true, isSigned: false },
  { status: 500 },
  { status: 200, isSigned: false },
  { status: 200, isEventStream: true },
].forEach((changes, index) => {
  test(`a target may say in any answer that it leaves: ${index}`, () => {
    const harness = gateway(targetOf('t-1', STARTED));
    exchange(harness, { ...changes, notice: LEAVING });
    harness.advance(5_000);
    harness.request();
    expect(harness.calledIds().length).toEqual(1);
  });
});

test('an answer that breaks off tells that its target leaves', () => {
  const harness = gateway(targetOf('t-1', STARTED));
  harness.request();
  receiveHead(harness, { notice: LEAVING });
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage: CallStage.Sent,
    detail: 'reset',
  });
  harness.advance(5_000);
  harness.request();
  expect(harness.calledIds().length).toEqual(1);
});

test('the answer of another instance tells nothing of the target', () => {
  const harness = gateway(targetOf('t-1', STARTED));
  exchange(harness, { status: 421, isNotRun: true, isSigned: false, notice: LEAVING });
  harness.advance(5_000);
  harness.request();
  expect(harness.calledIds().length).toEqual(2);
});

test('a stream at a leaving target goes on, and is resumed elsewhere', () => {
  const harness = gateway(targetOf('t-1', STARTED), targetOf('t-2', STARTED));
  harness.request({ path: '/s/x', remainingMs: 8_000 });
  receiveHead(harness, { isEventStream: true, notice: LEAVING });
  const event = (id: number): readonly Effect[] =>
    harness.post({
      kind: EventKind.TargetDataReceived,
      callId: harness.lastCallId(),
      data: Buffer.from(`id: ${id}\ndata: a\n\n`),
    });
  event(1);
  expect(event(2).map(({ kind }) => kind)).toEqual([EffectKind.ContinueAnswer]);
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage: CallStage.Sent,
    detail: 'reset',
  });
  const [first, second] = harness.calledIds();
  expect([first, second].sort()).toEqual(['t-1', 't-2']);
  expect(usedIds(harness)).toEqual([second ?? '']);
});

test('a target that has started again is used after it left', () => {
  const harness = gateway(targetOf('t-1', STARTED));
  exchange(harness, { notice: LEAVING });
  harness.read(StoreReadKind.Watch, [targetItem(targetOf('t-1', STARTED))]);
  expect(usedIds(harness)).toEqual([]);
  harness.read(StoreReadKind.Watch, [targetItem(targetOf('t-1', { startedAtMs: 2_000 }))]);
  expect(usedIds(harness)).toEqual(['t-1']);
});

test('another target at the address of one that left is used', () => {
  const harness = gateway(targetOf('t-1', STARTED));
  exchange(harness, { notice: LEAVING });
  harness.read(StoreReadKind.Watch, [
    { kind: ItemKind.Removed, scope: ItemScope.Target, id: 't-1' },
    targetItem(targetOf('t-2', STARTED)),
  ]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('gateways tell each other that a target leaves', () => {
  const fleet = Fleet.create(3, [
    configurationItem(configurationOf(1, ROUTES)),
    targetItem(targetOf('t-1', STARTED)),
    targetItem(targetOf('t-2', STARTED)),
  ]);
  const [first, second] = fleet.harnesses;
  first?.request();
  const [leavingId = ''] = first?.calledIds() ?? [];
  receiveHead(first ?? gateway(), { notice: LEAVING });
  fleet.run(100);
  expect(usedIds(second ?? gateway())).toEqual(
    ['t-1', 't-2'].filter((instanceId) => instanceId !== leavingId),
  );
});

test('values that cannot be read are logged once a target', () => {
  const harness = gateway(targetOf('t-1'));
  const notice = { ...NO_NOTICE, invalidFields: ['server-limit'] };
  Array.from({ length: 3 }, () => exchange(harness, { notice }));
  const lines = harness.effects.filter(
    (effect) => effect.kind === EffectKind.Log && effect.topic === LogTopic.NoticeInvalid,
  );
  expect(lines.length).toEqual(1);
});
