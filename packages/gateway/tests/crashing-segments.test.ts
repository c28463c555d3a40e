/** @module Prompt segments that crash the targets that begin to answer them. */
import { test } from 'node:test';
import { expect } from 'earl';
import { CallKind, CallStage, EffectKind, EventKind } from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  headOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const SOUND = ['common'];

const CRASHING = ['common', 'crashing'];

/** Longer than a target takes to restart. */
const RESTART_MS = 4_000;

const gateway = (): Harness =>
  Harness.create([
    configurationItem(
      configurationOf(1, [
        routeOf({ kind: CallKind.Streaming, isResumable: true, maxAttempts: 1 }),
      ]),
    ),
    targetItem(targetOf('t-1')),
  ]);

const callCount = ({ effects }: Harness): number =>
  effects.filter(({ kind }) => kind === EffectKind.StartCall).length;

let requestCount = 0;

/** Sends a request with a body of its own; returns whether it was sent to a target. */
const send = (harness: Harness, promptSegments: readonly string[]): boolean => {
  requestCount += 1;
  const before = callCount(harness);
  harness.request({ promptSegments, body: Buffer.from(`prompt ${requestCount}`) });
  return callCount(harness) > before;
};

const failCall = (harness: Harness, stage: CallStage): void => {
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage,
    detail: 'reset',
  });
};

const answerCall = (harness: Harness): void => {
  const callId = harness.lastCallId();
  harness.post({
    kind: EventKind.TargetHeadReceived,
    callId,
    head: headOf({ isEventStream: true }),
  });
  harness.post({
    kind: EventKind.TargetDataReceived,
    callId,
    data: Buffer.from('id: 1\ndata: a\n\n'),
  });
  harness.post({ kind: EventKind.TargetAnswerEnded, callId });
};

const serve = (harness: Harness): boolean => {
  const isSent = send(harness, SOUND);
  answerCall(harness);
  return isSent;
};

/** The target cuts the call, refuses the next connection, and restarts. */
const crash = (harness: Harness): void => {
  failCall(harness, CallStage.Sent);
  send(harness, SOUND);
  failCall(harness, CallStage.NotSent);
  harness.advance(RESTART_MS);
};

test('a crashing prompt segment stops reaching targets', { todo: 'issue 24' }, () => {
  const harness = gateway();
  serve(harness);
  for (let count = 0; count < 5; count += 1) {
    if (send(harness, CRASHING)) {
      crash(harness);
    }
    expect(serve(harness)).toEqual(true);
  }
  const reached = Array.from({ length: 10 }, () => send(harness, CRASHING)).filter(Boolean);
  expect(reached.length <= 3).toEqual(true);
  expect(serve(harness)).toEqual(true);
});
