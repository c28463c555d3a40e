/** @module Limits on answers of targets that send bytes without end. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  AnswerMemory,
  CallKind,
  EffectKind,
  EventKind,
  LogTopic,
  MAX_ANSWER_BYTES,
  MAX_EVENT_BYTES,
  ReadVerdict,
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

const CHUNK_BYTES = 65_536;

const gatewayWith = (kind: CallKind): Harness =>
  Harness.create([
    configurationItem(
      configurationOf(1, [routeOf({ kind, isResumable: kind === CallKind.Streaming })]),
    ),
    targetItem(targetOf('t-1')),
    targetItem(targetOf('t-2')),
  ]);

/** Sends chunks on a call until the gateway cancels it; returns the bytes sent, at most `maxBytes`. */
const sendUntilCancelled = (
  harness: Harness,
  callId: number,
  chunk: Buffer,
  maxBytes: number,
): number => {
  let sentBytes = 0;
  let isCancelled = false;
  while (!isCancelled && sentBytes < maxBytes) {
    sentBytes += chunk.length;
    isCancelled = harness
      .post({ kind: EventKind.TargetDataReceived, callId, data: chunk })
      .some((effect) => effect.kind === EffectKind.CancelCall && effect.callId === callId);
  }
  return sentBytes;
};

test('a plain answer over the limit is cancelled', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  const callId = harness.lastCallId();
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head: headOf() });
  const sentBytes = sendUntilCancelled(
    harness,
    callId,
    Buffer.alloc(CHUNK_BYTES),
    2 * MAX_ANSWER_BYTES,
  );
  expect(sentBytes).toBeLessThanOrEqual(MAX_ANSWER_BYTES + CHUNK_BYTES);
  expect(harness.statuses()).toEqual([502]);
});

test('the log names the target of an answer that is cancelled', () => {
  const harness = gatewayWith(CallKind.NonIdempotent);
  harness.request({ method: 'POST' });
  const callId = harness.lastCallId();
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head: headOf() });
  sendUntilCancelled(harness, callId, Buffer.alloc(CHUNK_BYTES), 2 * MAX_ANSWER_BYTES);
  const lines = harness.effects.filter(
    (effect) => effect.kind === EffectKind.Log && effect.topic === LogTopic.CallFailed,
  );
  expect(lines.length).toEqual(1);
  expect(JSON.stringify(lines)).toInclude('exceeds the maximum size');
});

test('an idempotent call is retried elsewhere', () => {
  const harness = gatewayWith(CallKind.Idempotent);
  harness.request();
  const callId = harness.lastCallId();
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head: headOf() });
  sendUntilCancelled(harness, callId, Buffer.alloc(CHUNK_BYTES), 2 * MAX_ANSWER_BYTES);
  expect(new Set(harness.calledIds()).size).toEqual(2);
});

test('a repeated event is no progress', () => {
  const harness = gatewayWith(CallKind.Streaming);
  harness.request({ method: 'POST' });
  const callId = harness.lastCallId();
  harness.post({
    kind: EventKind.TargetHeadReceived,
    callId,
    head: headOf({ isEventStream: true }),
  });
  const chunk = Buffer.from('id: 1\ndata: a\n\n'.repeat(1_000));
  const sentBytes = sendUntilCancelled(harness, callId, chunk, 4 * MAX_EVENT_BYTES);
  expect(sentBytes).toBeLessThanOrEqual(MAX_EVENT_BYTES + 2 * chunk.length);
});

test('comments between events do not end a stream', () => {
  const harness = gatewayWith(CallKind.Streaming);
  harness.request({ method: 'POST' });
  const callId = harness.lastCallId();
  harness.post({
    kind: EventKind.TargetHeadReceived,
    callId,
    head: headOf({ isEventStream: true }),
  });
  for (let id = 1; id <= 10; id += 1) {
    const data = Buffer.from(`${': wait\n\n'.repeat(10_000)}id: ${id}\ndata: a\n\n`);
    harness.post({ kind: EventKind.TargetDataReceived, callId, data });
  }
  harness.post({ kind: EventKind.TargetAnswerEnded, callId });
  expect(harness.effects.some(({ kind }) => kind === EffectKind.CancelCall)).toEqual(false);
  expect(harness.effects.some(({ kind }) => kind === EffectKind.EndAnswer)).toEqual(true);
});

const MAX_MEMORY_BYTES = 4 * MAX_ANSWER_BYTES;

/** Fills the memory with answers that their targets have announced; returns the verdicts. */
const fillMemory = (memory: AnswerMemory, count: number): readonly ReadVerdict[] =>
  Array.from({ length: count }, (_, exchangeId) => {
    memory.begin(exchangeId, exchangeId);
    return memory.add(exchangeId, MAX_ANSWER_BYTES / 2, MAX_ANSWER_BYTES / 2);
  });

// Guards against a process that exceeds its memory when many callers request large answers.
test('large answers get memory in order, within the limit of all', () => {
  const memory = AnswerMemory.create(MAX_MEMORY_BYTES);
  const verdicts = fillMemory(memory, 20);
  const readCount = verdicts.filter((verdict) => verdict === ReadVerdict.ReadOn).length;
  expect(readCount * (MAX_ANSWER_BYTES / 2)).toBeLessThanOrEqual(MAX_MEMORY_BYTES);
  expect(verdicts.slice(readCount).every((verdict) => verdict === ReadVerdict.Wait)).toEqual(true);
  memory.markSent(0);
  memory.end(0);
  expect(memory.reserveWaiting()).toEqual([]);
  memory.remove(0);
  memory.remove(1);
  expect(memory.reserveWaiting()).toEqual([readCount, readCount + 1]);
});

test('a small answer is read when large ones take all memory', () => {
  const memory = AnswerMemory.create(MAX_MEMORY_BYTES);
  fillMemory(memory, 20);
  memory.begin(1_000, 1_000);
  expect(memory.add(1_000, 800)).toEqual(ReadVerdict.ReadOn);
});

test('an answer that is larger than all memory is read alone', () => {
  const memory = AnswerMemory.create(1_000);
  expect(fillMemory(memory, 2)).toEqual([ReadVerdict.ReadOn, ReadVerdict.Wait]);
});

test('many small blocks count by the memory they take', () => {
  const memory = AnswerMemory.create(MAX_MEMORY_BYTES);
  memory.begin(1, 1);
  let addedBytes = 0;
  while (memory.add(1, 4) === ReadVerdict.ReadOn) {
    addedBytes += 4;
  }
  expect(addedBytes).toBeLessThan(MAX_ANSWER_BYTES / 16);
});

test('a call whose answer gets no memory is paused until another was taken', () => {
  const harness = Harness.create(
    [configurationItem(configurationOf(1, [routeOf()])), targetItem(targetOf('t-1'))],
    { answerMemoryBytes: CHUNK_BYTES },
  );
  const head = headOf({ announcedBytes: CHUNK_BYTES });
  const begin = (): number => {
    harness.request();
    const callId = harness.lastCallId();
    harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
    return callId;
  };
  const [firstId, secondId] = [begin(), begin()];
  const data = Buffer.alloc(CHUNK_BYTES);
  harness.post({ kind: EventKind.TargetDataReceived, callId: firstId, data });
  const paused = harness.post({ kind: EventKind.TargetDataReceived, callId: secondId, data });
  expect(paused).toInclude({ kind: EffectKind.PauseCall, callId: secondId });
  harness.post({ kind: EventKind.TargetAnswerEnded, callId: firstId });
  const resumed = harness.post({ kind: EventKind.AnswerTaken, exchangeId: 1 });
  expect(resumed).toEqual([{ kind: EffectKind.ResumeCall, callId: secondId }]);
});

test('callers that take nothing lose their answers while others wait', () => {
  const harness = Harness.create(
    [configurationItem(configurationOf(1, [routeOf()])), targetItem(targetOf('t-1'))],
    { answerMemoryBytes: CHUNK_BYTES },
  );
  const data = Buffer.alloc(CHUNK_BYTES);
  [1, 2].forEach(() => {
    harness.request();
    const callId = harness.lastCallId();
    harness.post({ kind: EventKind.TargetHeadReceived, callId, head: headOf() });
    harness.post({ kind: EventKind.TargetDataReceived, callId, data });
  });
  const drops = harness
    .advance(600)
    .filter((effect) => effect.kind === EffectKind.DropStalledAnswers);
  expect(drops.length).toEqual(2);
});
