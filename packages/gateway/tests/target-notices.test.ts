/** @module Targets that say that they leave, or for how long they want no request. */
import { test } from 'node:test';
import { expect } from 'earl';
import * as fc from 'fast-check';
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
  TargetReachability,
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

const pauseOf = (pauseMs: number): TargetNotice => ({ ...NO_NOTICE, pauseMs });

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

const turnAway = (harness: Harness, pauseMs: number): readonly Effect[] =>
  exchange(harness, { status: 503, isNotRun: true, isSigned: false, notice: pauseOf(pauseMs) });

/** Identifiers of the targets of thirty requests. */
const usedIds = (harness: Harness): readonly string[] => {
  const before = harness.calledIds().length;
  Array.from({ length: 30 }, () => harness.request());
  harness.disconnectCallers();
  return [...new Set(harness.calledIds().slice(before))].sort();
};

const retryAfterOf = (effects: readonly Effect[]): number | undefined =>
  effects
    .flatMap((effect) => (effect.kind === EffectKind.SendAnswer ? [effect.retryAfterMs] : []))
    .at(-1);

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

test('a target gets no request while it wants none', () => {
  const harness = gateway(targetOf('t-1'), targetOf('t-2'));
  turnAway(harness, 2_000);
  const [pausedId = ''] = harness.calledIds();
  harness.disconnectCallers();
  const otherIds = ['t-1', 't-2'].filter((instanceId) => instanceId !== pausedId);
  expect(usedIds(harness)).toEqual(otherIds);
  harness.advance(1_900);
  expect(usedIds(harness)).toEqual(otherIds);
  harness.advance(200);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
});

test('a request for which all targets pause is refused until the first is back', () => {
  const harness = gateway(targetOf('t-1'));
  expect(retryAfterOf(turnAway(harness, 400))).toEqual(600);
  harness.advance(100);
  const effects = harness.request();
  expect(harness.statuses()).toEqual([503, 503]);
  expect(retryAfterOf(effects)).toEqual(450);
});

test('a shorter pause does not end a longer one', () => {
  const harness = gateway(targetOf('t-1'));
  harness.request();
  const first = harness.lastCallId();
  harness.request();
  const notices = [pauseOf(3_000), pauseOf(0)];
  notices.forEach((notice, index) =>
    harness.post({
      kind: EventKind.TargetHeadReceived,
      callId: first + index,
      head: headOf({ status: 503, isNotRun: true, notice }),
    }),
  );
  harness.advance(2_900);
  expect(usedIds(harness)).toEqual([]);
});

test('a target cannot ask for a pause without end', () => {
  const harness = gateway(targetOf('t-1'));
  turnAway(harness, 999_999_999_000);
  harness.advance(300_100);
  expect(usedIds(harness)).toEqual(['t-1']);
});

test('a pause concerns only the gateway that was turned away', () => {
  const fleet = Fleet.create(2, [
    configurationItem(configurationOf(1, ROUTES)),
    targetItem(targetOf('t-1', STARTED)),
  ]);
  const [first, second] = fleet.harnesses;
  turnAway(first ?? gateway(), 5_000);
  fleet.run(1_000);
  expect(usedIds(second ?? gateway())).toEqual(['t-1']);
});

test('a suspended host does not shorten a pause', () => {
  const harness = gateway(targetOf('t-1'));
  turnAway(harness, 2_000);
  harness.suspendedMs = 60_000;
  harness.read(StoreReadKind.Watch, []);
  expect(usedIds(harness)).toEqual([]);
});

test('a cold target that wants no request gets none', () => {
  const configuration = configurationOf(1, ROUTES);
  const services = configuration.services.map((service) => ({ ...service, coldPerSecond: 50 }));
  const harness = Harness.create([
    configurationItem({ ...configuration, services }),
    targetItem(targetOf('t-1', { coldRemainingMs: 60_000 })),
  ]);
  exchange(harness, {});
  turnAway(harness, 2_000);
  harness.advance(1_500);
  harness.request();
  expect(harness.calledIds().length).toEqual(2);
  harness.advance(1_000);
  harness.request();
  expect(harness.calledIds().length).toEqual(3);
});

[0, 100_000].forEach((pauseMs) => {
  test(`the trial of a suspect respects a pause of ${pauseMs} ms`, () => {
    const harness = gateway(targetOf('t-1', STARTED));
    exchange(harness, {});
    const suspect = { promptSegments: ['common', 'crashing'], path: '/s/x' };
    harness.request(suspect);
    harness.post({
      kind: EventKind.TargetCallFailed,
      callId: harness.lastCallId(),
      stage: CallStage.Sent,
      detail: 'reset',
    });
    const reachability = TargetReachability.Refusing;
    harness.post({ kind: EventKind.TargetChecked, instanceId: 't-1', reachability });
    harness.advance(4_000);
    turnAway(harness, pauseMs);
    harness.advance(60_000);
    const before = harness.calledIds().length;
    harness.request(suspect);
    expect(harness.calledIds().length - before).toEqual(pauseMs === 0 ? 1 : 0);
  });
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

/** What a target does with one request: the time until then, and the head of its answer. */
const answerArbitrary = fc.record({
  afterMs: fc.integer({ min: 0, max: 1_500 }),
  isLeaving: fc.boolean(),
  pauseMs: fc.option(fc.integer({ min: 0, max: 4_000 }), { nil: undefined }),
  isFailing: fc.boolean(),
});

test('no call begins in a pause or after its target left', () => {
  fc.assert(
    fc.property(fc.array(answerArbitrary, { maxLength: 40 }), (answers) => {
      const targets = ['t-1', 't-2', 't-3'];
      const harness = gateway(...targets.map((instanceId) => targetOf(instanceId, STARTED)));
      const blockedUntilMs = new Map<string, number>();
      let checkedCount = 0;
      const checkCalls = (): void => {
        const calls = harness.calledIds();
        calls.slice(checkedCount).forEach((instanceId) => {
          expect(blockedUntilMs.get(instanceId) ?? 0).toSatisfy((value) => value <= harness.nowMs);
        });
        checkedCount = calls.length;
      };
      answers.forEach(({ afterMs, isLeaving, pauseMs, isFailing }, index) => {
        harness.advance(afterMs);
        harness.request({ path: index % 2 === 0 ? '/a/x' : '/s/x' });
        const isCalled = harness.calledIds().length > checkedCount;
        checkCalls();
        if (!isCalled) {
          return;
        }
        const instanceId = harness.calledIds().at(-1) ?? '';
        const isPausing = pauseMs !== undefined;
        receiveHead(harness, {
          status: isPausing ? 503 : 200,
          isNotRun: isPausing,
          notice: { ...NO_NOTICE, isLeaving, ...(isPausing ? { pauseMs } : {}) },
        });
        const untilMs = isLeaving ? Infinity : harness.nowMs + (pauseMs ?? 0);
        blockedUntilMs.set(instanceId, Math.max(untilMs, blockedUntilMs.get(instanceId) ?? 0));
        if (isFailing) {
          harness.post({
            kind: EventKind.TargetCallFailed,
            callId: harness.lastCallId(),
            stage: CallStage.Sent,
            detail: 'reset',
          });
        } else {
          endAnswer(harness);
        }
        checkCalls();
      });
    }),
  );
});
