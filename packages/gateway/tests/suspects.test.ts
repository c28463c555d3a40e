/** @module Requests that crash targets are contained, over all gateways. */
import { test } from 'node:test';
import { expect } from 'earl';
import { CallStage, EffectKind, EventKind, LogTopic, PeerMessageKind } from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  requestOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const INSTANCES = ['t-1', 't-2', 't-3', 't-4'];

const BAD = requestOf({ path: '/a/bad' });

const gateway = (): Harness =>
  Harness.create([
    configurationItem(configurationOf(1, [routeOf({ maxAttempts: 1 })])),
    ...INSTANCES.map((instanceId) => targetItem(targetOf(instanceId))),
  ]);

const fail = (harness: Harness, stage: CallStage): void => {
  harness.post({
    kind: EventKind.TargetCallFailed,
    callId: harness.lastCallId(),
    stage,
    detail: 'reset',
  });
};

const receiveCrashReport = (harness: Harness, instanceId: string, fingerprint: string): void => {
  harness.post({
    kind: EventKind.PeerMessageReceived,
    address: '10.0.0.8:7000',
    message: { kind: PeerMessageKind.CrashSeen, fingerprint, instanceId },
  });
};

const callCount = (harness: Harness): number =>
  harness.effects.filter(({ kind }) => kind === EffectKind.StartCall).length;

/** The fingerprint that a gateway logs when a target crashes with the bad request. */
const fingerprintOfBad = (): string => {
  const harness = Harness.create([
    configurationItem(configurationOf(1, [routeOf({ maxAttempts: 1 })])),
    targetItem(targetOf('t-1')),
  ]);
  harness.request(BAD);
  fail(harness, CallStage.Sent);
  harness.request(requestOf({ path: '/a/other' }));
  fail(harness, CallStage.NotSent);
  const [logged] = harness.effects.flatMap((effect) =>
    effect.kind === EffectKind.Log && effect.topic === LogTopic.CrashSuspected
      ? [effect.fields.detail ?? '']
      : [],
  );
  return logged ?? '';
};

test('a cut request and a closed port are a crash', () => {
  expect(fingerprintOfBad().length > 0).toEqual(true);
});

test('refuses a request after three crashes', () => {
  const harness = gateway();
  const fingerprint = fingerprintOfBad();
  ['t-1', 't-2'].forEach((instanceId) => receiveCrashReport(harness, instanceId, fingerprint));
  harness.request(BAD);
  expect(callCount(harness)).toEqual(1);
  receiveCrashReport(harness, 't-3', fingerprint);
  harness.request(BAD);
  expect(callCount(harness)).toEqual(1);
  harness.request(requestOf({ path: '/a/other' }));
  expect(callCount(harness)).toEqual(2);
});

test('one target that crashes again counts once', () => {
  const harness = gateway();
  const fingerprint = fingerprintOfBad();
  [1, 2, 3, 4].forEach(() => receiveCrashReport(harness, 't-1', fingerprint));
  harness.request(BAD);
  expect(callCount(harness)).toEqual(1);
});

test('forgets crashes after a while', () => {
  const harness = gateway();
  const fingerprint = fingerprintOfBad();
  INSTANCES.forEach((instanceId) => receiveCrashReport(harness, instanceId, fingerprint));
  harness.advance(121_000);
  harness.request(BAD);
  expect(callCount(harness)).toEqual(1);
});
