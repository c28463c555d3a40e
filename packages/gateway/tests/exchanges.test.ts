/** @module Exchanges: calls at most once, correct refusals, complete answers. */
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
  ServiceName,
  StoreReadKind,
  chooseLeastLoaded,
  type StoreItem,
  type TargetHead,
} from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  headOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const gatewayWith = (kind: CallKind, isResumable = false): Harness =>
  Harness.create([
    configurationItem(
      configurationOf(1, [
        routeOf({ kind, isResumable, maxPauseMs: kind === CallKind.Streaming ? 120 : 0 }),
      ]),
    ),
    targetItem(targetOf('t-1')),
    targetItem(targetOf('t-2')),
  ]);

const interrupt = (harness: Harness): void => {
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage: CallStage.Sent,
    detail: 'reset',
  });
};

const answer = (harness: Harness, head = headOf()): void => {
  const callId = harness.lastCallId();
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
  harness.post({ kind: EventKind.TargetDataReceived, callId, data: Buffer.from('body') });
  harness.post({ kind: EventKind.TargetAnswerEnded, callId });
};

const deliveredText = (harness: Harness): string =>
  harness.effects
    .flatMap((effect) =>
      effect.kind === EffectKind.ContinueAnswer ? [Buffer.from(effect.data).toString()] : [],
    )
    .join('');

test('delivers a complete answer', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request();
  answer(harness);
  expect(harness.statuses()).toEqual([200]);
});

test('does not retry an interrupted non-idempotent call', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  interrupt(harness);
  expect(harness.calledIds().length).toEqual(1);
  expect(harness.statuses()).toEqual([502]);
});

test('retries a non-idempotent call that was not sent', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage: CallStage.NotSent,
    detail: 'refused',
  });
  expect(new Set(harness.calledIds()).size).toEqual(2);
});

test('retries a non-idempotent call with proof that it did not run', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  answer(harness, headOf({ status: 503, isNotRun: true }));
  expect(new Set(harness.calledIds()).size).toEqual(2);
});

test('answers 502 to a 503 without proof that nothing ran', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  answer(harness, headOf({ status: 503 }));
  expect(harness.statuses()).toEqual([502]);
});

test('retries an idempotent call once', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request();
  interrupt(harness);
  interrupt(harness);
  expect(new Set(harness.calledIds()).size).toEqual(2);
  expect(harness.calledIds().length).toEqual(2);
  expect(harness.statuses()).toEqual([502]);
});

test('counts an answer without a head as an attempt', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request();
  const callId = harness.lastCallId();
  harness.post({ kind: EventKind.TargetAnswerEnded, callId });
  const second = harness.lastCallId();
  harness.post({ kind: EventKind.TargetAnswerEnded, callId: second });
  expect(harness.calledIds().length).toEqual(2);
});

test('answers 502 to an answer that belongs to another request', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  answer(harness, headOf({ attemptId: 'attempt-0' }));
  expect(harness.statuses()).toEqual([502]);
});

test('answers 502 to an unsigned success', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  answer(harness, headOf({ isSigned: false }));
  expect(harness.statuses()).toEqual([502]);
});

test('resumes a stream after its last complete event', () => {
  const harness = gatewayWith(CallKind.Streaming, true);
  harness.request({ method: 'POST' });
  const head = headOf({ isEventStream: true });
  const first = harness.lastCallId();
  harness.post({ kind: EventKind.TargetHeadReceived, callId: first, head });
  const chunk = Buffer.from('id: 1\ndata: a\n\nid: 2\nda');
  harness.post({ kind: EventKind.TargetDataReceived, callId: first, data: chunk });
  interrupt(harness);
  const calls = harness.effects.filter((effect) => effect.kind === EffectKind.StartCall);
  expect(calls.map(({ call }) => call.resumeAfter)).toEqual([undefined, '1']);
  const second = harness.lastCallId();
  harness.post({ kind: EventKind.TargetHeadReceived, callId: second, head });
  const remainder = Buffer.from('id: 2\ndata: b\n\n');
  harness.post({ kind: EventKind.TargetDataReceived, callId: second, data: remainder });
  harness.post({ kind: EventKind.TargetAnswerEnded, callId: second });
  expect(deliveredText(harness)).toEqual('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  expect(harness.effects.filter(({ kind }) => kind === EffectKind.BeginAnswer).length).toEqual(1);
  expect(harness.effects.filter(({ kind }) => kind === EffectKind.EndAnswer).length).toEqual(1);
});

test('aborts a stream that cannot be resumed', () => {
  const harness = gatewayWith(CallKind.Streaming);
  harness.request({ method: 'POST' });
  const callId = harness.lastCallId();
  const head = headOf({ isEventStream: true });
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
  const data = Buffer.from('id: 1\ndata: a\n\n');
  harness.post({ kind: EventKind.TargetDataReceived, callId, data });
  interrupt(harness);
  expect(harness.calledIds().length).toEqual(1);
  expect(harness.effects.some(({ kind }) => kind === EffectKind.AbortAnswer)).toEqual(true);
  expect(harness.effects.some(({ kind }) => kind === EffectKind.EndAnswer)).toEqual(false);
});

test('cancels the call when the caller disconnects', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request();
  const effects = harness.post({ kind: EventKind.CallerDisconnected, exchangeId: 1 });
  expect(effects.some(({ kind }) => kind === EffectKind.CancelCall)).toEqual(true);
});

test('answers 504 at the timeout of the route', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request();
  harness.advance(1_999);
  expect(harness.statuses()).toEqual([]);
  harness.advance(1);
  expect(harness.statuses()).toEqual([504]);
});

test('passes the remaining time to the target', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request({ remainingMs: 900 });
  harness.advance(300);
  interrupt(harness);
  const calls = harness.effects.filter((effect) => effect.kind === EffectKind.StartCall);
  expect(calls.map(({ call }) => call.remainingMs)).toEqual([900, 600]);
});

test('denies an unknown credential', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request({ credential: 'key-0' });
  expect(harness.statuses()).toEqual([401]);
});

test('denies a path without a route', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request({ path: '/b/x' });
  expect(harness.statuses()).toEqual([404]);
});

test('answers 503, not 404 or 401, with a stale store copy', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.advance(3_000, false);
  harness.request({ path: '/b/x' });
  harness.request({ credential: 'key-0' });
  expect(harness.statuses()).toEqual([503, 503]);
});

test('accepts no credential with a stale store copy', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.advance(4_100, false);
  harness.request();
  expect(harness.calledIds()).toEqual([]);
  expect(harness.statuses()).toEqual([503]);
});

test('counts suspended time in the age of the store copy', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.suspendedMs = 5_000;
  harness.request();
  expect(harness.calledIds()).toEqual([]);
  // The answer to the watch from before the suspension is as old as that watch.
  harness.read(StoreReadKind.Watch, []);
  harness.request();
  expect(harness.calledIds()).toEqual([]);
  harness.read(StoreReadKind.Watch, []);
  harness.request();
  expect(harness.calledIds().length).toEqual(1);
});

test('ignores an older configuration', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  const older = configurationOf(0, [routeOf({ pathPrefix: '/b/' })]);
  harness.read(StoreReadKind.Watch, [configurationItem(older)]);
  harness.request();
  expect(harness.calledIds().length).toEqual(1);
});

test('routes by the longest prefix', () => {
  const harness = Harness.create([
    configurationItem(
      configurationOf(1, [
        routeOf(),
        routeOf({ pathPrefix: '/a/b/', services: [{ service: 'other', weight: 1 }] }),
      ]),
    ),
    targetItem(targetOf('t-1')),
    targetItem(targetOf('t-2', { service: 'other' })),
  ]);
  harness.request({ path: '/a/b/c' });
  expect(harness.calledIds()).toEqual(['t-2']);
});

test('an error in one exchange ends only that exchange', () => {
  let isBroken = true;
  const harness = Harness.create(
    [configurationItem(configurationOf(1, [routeOf()])), targetItem(targetOf('t-1'))],
    {
      chooseTarget: (choice) => {
        if (isBroken) {
          throw new TypeError('no choice');
        }
        return chooseLeastLoaded(choice);
      },
    },
  );
  harness.request();
  isBroken = false;
  harness.request();
  answer(harness);
  expect(harness.statuses()).toEqual([502, 200]);
  const topics = harness.effects.flatMap((effect) =>
    effect.kind === EffectKind.Log ? [effect.topic] : [],
  );
  expect(topics.includes(LogTopic.ExchangeFailed)).toEqual(true);
});

test('answers 502 to a status that is none', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  answer(harness, headOf({ status: 99 }));
  expect(harness.statuses()).toEqual([502]);
});

test('a call goes on when the entry of its target lapses', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  const removed = ['t-1', 't-2'].map((id): StoreItem => ({
    kind: ItemKind.Removed,
    scope: ItemScope.Target,
    id,
  }));
  harness.read(StoreReadKind.Watch, removed);
  harness.advance(1_000);
  answer(harness);
  expect(harness.calledIds().length).toEqual(1);
  expect(harness.statuses()).toEqual([200]);
});

/** Retries that are left after five requests to the only target were answered with `head`. */
const retriesLeftAfter = (head: TargetHead): number => {
  const harness = Harness.create([
    configurationItem(configurationOf(1, [routeOf()])),
    targetItem(targetOf('t-1')),
  ]);
  Array.from({ length: 5 }, () => {
    harness.request();
    return answer(harness, head);
  });
  const { tryConsume } = harness.kernel.find(ServiceName.RetryBudget);
  return Array.from({ length: 100 }, () => tryConsume('plain')).filter(Boolean).length;
};

test('a rejection without another target takes no retry', () => {
  const left = retriesLeftAfter(headOf({ status: 503, isNotRun: true }));
  expect(left).toEqual(retriesLeftAfter(headOf()));
});
