/** @module Requests that crash targets are refused by all gateways. */
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

const CRASHING_REQUEST = requestOf({ path: '/a/bad' });

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
    message: {
      kind: PeerMessageKind.CrashReport,
      fingerprint,
      instanceId,
      segments: [],
      answers: [],
    },
  });
};

const callCount = (harness: Harness): number =>
  harness.effects.filter(({ kind }) => kind === EffectKind.StartCall).length;

/** The fingerprint that a gateway logs when a target crashes with the request. */
const fingerprintOfCrash = (): string => {
  const harness = Harness.create([
    configurationItem(configurationOf(1, [routeOf({ maxAttempts: 1 })])),
    targetItem(targetOf('t-1')),
  ]);
  harness.request(CRASHING_REQUEST);
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

test('a connection refused after a cut request counts as a crash', () => {
  expect(fingerprintOfCrash().length > 0).toEqual(true);
});

test('refuses a request after three crashes', () => {
  const harness = gateway();
  const fingerprint = fingerprintOfCrash();
  ['t-1', 't-2'].forEach((instanceId) => receiveCrashReport(harness, instanceId, fingerprint));
  harness.request(CRASHING_REQUEST);
  expect(callCount(harness)).toEqual(1);
  receiveCrashReport(harness, 't-3', fingerprint);
  harness.request(CRASHING_REQUEST);
  expect(callCount(harness)).toEqual(1);
  harness.request(requestOf({ path: '/a/other' }));
  expect(callCount(harness)).toEqual(2);
});

test('repeated crashes of one target count once', () => {
  const harness = gateway();
  const fingerprint = fingerprintOfCrash();
  [1, 2, 3, 4].forEach(() => receiveCrashReport(harness, 't-1', fingerprint));
  harness.request(CRASHING_REQUEST);
  expect(callCount(harness)).toEqual(1);
});

test('ignores crashes older than two minutes', () => {
  const harness = gateway();
  const fingerprint = fingerprintOfCrash();
  INSTANCES.forEach((instanceId) => receiveCrashReport(harness, instanceId, fingerprint));
  harness.advance(121_000);
  harness.request(CRASHING_REQUEST);
  expect(callCount(harness)).toEqual(1);
});
