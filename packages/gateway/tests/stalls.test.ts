/** @module Streams that stall while their group goes on. */
import { test } from 'node:test';
import { expect } from 'earl';
import { CallKind, EffectKind, EventKind, ServiceName, type Effect } from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  headOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const PAUSE_MS = 60;

const create = (isResumable = true, maxAttempts = 2): Harness =>
  Harness.create([
    configurationItem(
      configurationOf(1, [
        routeOf({
          kind: CallKind.Streaming,
          maxPauseMs: 120,
          timeoutMs: 8_000,
          isResumable,
          maxAttempts,
        }),
      ]),
    ),
    ...['t-1', 't-2', 't-3'].map((id) => targetItem(targetOf(id))),
  ]);

const beginStream = (harness: Harness): number => {
  harness.request({ method: 'POST', remainingMs: 8_000 });
  const callId = harness.lastCallId();
  harness.post({
    kind: EventKind.TargetHeadReceived,
    callId,
    head: headOf({ isEventStream: true }),
  });
  return callId;
};

/** Lets time pass in which these streams have events from `firstId` on. */
const run = (harness: Harness, callIds: readonly number[], spanMs: number, firstId = 1): void => {
  for (let step = 0; step * PAUSE_MS < spanMs; step += 1) {
    const data = Buffer.from(`id: ${firstId + step}\ndata: a\n\n`);
    callIds.forEach((callId) => harness.post({ kind: EventKind.TargetDataReceived, callId, data }));
    harness.advance(PAUSE_MS);
  }
};

const cancelledIds = (effects: readonly Effect[]): readonly number[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.CancelCall ? [effect.callId] : []));

test('a stalled stream is resumed after its last event', () => {
  const harness = create();
  const stalled = beginStream(harness);
  const running = beginStream(harness);
  run(harness, [stalled, running], 300);
  run(harness, [running], 1_500, 10);
  expect(cancelledIds(harness.effects)).toEqual([stalled]);
  const calls = harness.effects.filter((effect) => effect.kind === EffectKind.StartCall);
  expect(calls.map(({ call }) => call.resumeAfter)).toEqual([undefined, undefined, '5']);
});

test('a comment now and then is no progress', () => {
  const harness = create();
  const stalled = beginStream(harness);
  const running = beginStream(harness);
  run(harness, [stalled, running], 300);
  for (let second = 0; second < 8; second += 1) {
    const data = Buffer.from(': wait\n\n');
    harness.post({ kind: EventKind.TargetDataReceived, callId: stalled, data });
    run(harness, [running], 200, 10 * (second + 1));
  }
  expect(cancelledIds(harness.effects)).toEqual([stalled]);
});

test('a pause of the whole group moves no stream', () => {
  const harness = create();
  const callIds = [beginStream(harness), beginStream(harness)];
  run(harness, callIds, 300);
  harness.advance(3_000);
  run(harness, callIds, 300, 10);
  expect(cancelledIds(harness.effects)).toEqual([]);
});

test('a slow stream that makes progress is not moved', () => {
  const harness = create();
  const slow = beginStream(harness);
  const running = beginStream(harness);
  for (let round = 0; round < 6; round += 1) {
    run(harness, [slow], 1, 10 * round + 1);
    run(harness, [running], 900, 100 * (round + 1));
  }
  expect(cancelledIds(harness.effects)).toEqual([]);
});

// Guards against a slow caller whose stream is moved, since its target is not read meanwhile.
test('a stream whose caller is behind is paused and not moved', () => {
  const harness = create();
  const behind = beginStream(harness);
  const running = beginStream(harness);
  run(harness, [behind, running], 300);
  const paused = harness.post({ kind: EventKind.CallerBehind, exchangeId: 1 });
  expect(paused).toEqual([{ kind: EffectKind.PauseCall, callId: behind }]);
  run(harness, [running], 1_500, 10);
  const resumed = harness.post({ kind: EventKind.CallerCaughtUp, exchangeId: 1 });
  expect(resumed).toEqual([{ kind: EffectKind.ResumeCall, callId: behind }]);
  run(harness, [running], 900, 100);
  expect(cancelledIds(harness.effects)).toEqual([]);
});

test('a stalled stream that cannot be resumed keeps its call', () => {
  const harness = create(false);
  const stalled = beginStream(harness);
  const running = beginStream(harness);
  run(harness, [stalled, running], 300);
  run(harness, [running], 3_000, 10);
  expect(cancelledIds(harness.effects)).toEqual([]);
});

test('a resumed stream has time for its first event', () => {
  const harness = create(true, 3);
  const stalled = beginStream(harness);
  const running = beginStream(harness);
  run(harness, [stalled, running], 300);
  run(harness, [running], 1_900, 10);
  expect(cancelledIds(harness.effects)).toEqual([stalled]);
});

test('the pause before a resumed stream is no pass', () => {
  const harness = create();
  const stalled = beginStream(harness);
  const running = beginStream(harness);
  run(harness, [stalled, running], 300);
  run(harness, [running], 1_500, 10);
  const resumed = harness.lastCallId();
  harness.post({
    kind: EventKind.TargetHeadReceived,
    callId: resumed,
    head: headOf({ isEventStream: true }),
  });
  run(harness, [resumed], 1, 6);
  const passMs = harness.kernel.find(ServiceName.Admission).passMsOf('plain');
  expect(Math.round(passMs)).toEqual(PAUSE_MS);
});
