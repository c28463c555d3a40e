/** @module Runs at a target that takes one request at a time. */
import { test } from 'node:test';
import {
  Continuation,
  EffectKind,
  EventKind,
  MessageKind,
  ServiceName,
  TargetErrorStage,
  TargetState,
  type Directory,
  type Effect,
  type Event,
  type Message,
  type RunMessage,
} from '@ebonysill/core';
import { expect } from 'earl';
import { executionRegistration } from '../src/execution-service.js';

const TARGET = {
  targetId: 'bookings-1',
  service: 'bookings',
  availabilityZone: 'kochi',
  sidecarHost: '10.0.0.1',
  sidecarPort: 7_001,
  concurrency: 1,
  coldConcurrency: 1,
};

const LINK = 'link-1';

const unused = (): never => {
  throw new Error('not used here');
};

const SERVICES: Partial<Directory> = {
  [ServiceName.Configuration]: {
    revision: () => 1,
    current: unused,
    service: unused,
    target: () => TARGET,
    address: unused,
    groupOf: unused,
    targets: unused,
    organisation: unused,
    isInService: () => true,
  },
  [ServiceName.Links]: {
    peer: unused,
    peerOfLink: unused,
    peers: () => [],
    isSuspect: () => false,
    ensure: unused,
    retain: unused,
    release: unused,
    setLoadReader: () => undefined,
  },
  [ServiceName.Suspects]: {
    crashCount: () => 0,
    isRefused: () => false,
    recordCrash: () => [],
    clear: () => undefined,
    all: () => [],
  },
  [ServiceName.KeyLedger]: { mint: unused, claim: unused, void: unused, finish: unused },
  [ServiceName.TargetMonitor]: {
    state: () => TargetState.Warm,
    limit: () => 1,
    confirmedLimit: () => 1,
    refresh: () => [],
  },
};

interface Sidecar {
  readonly handle: (event: Event) => readonly Effect[];
  readonly isDrained: () => boolean;
}

const createSidecar = (): Sidecar => {
  const find = <TName extends ServiceName>(name: TName): Directory[TName] =>
    SERVICES[name] ?? unused();
  const runtime = { nowMs: () => 0, random: () => 0 };
  const { handle, isDrained } = executionRegistration({
    runtime,
    targetId: TARGET.targetId,
  }).create(find);
  return { handle, isDrained };
};

const receive = ({ handle }: Sidecar, message: Message): readonly Effect[] =>
  handle({ kind: EventKind.LinkMessage, linkId: LINK, message });

const runOf = (runId: string): RunMessage => ({
  kind: MessageKind.Run,
  runId,
  requestId: runId,
  organisationId: 'org-1',
  request: { service: 'bookings', method: 'GET', path: '/', contentType: '', body: '' },
  timeLeftMs: 5_000,
  priority: 1,
  fingerprint: runId,
  crashCount: 0,
  deliveredCount: 0,
  continuation: Continuation.None,
});

/** Identifiers of the calls that the sidecar starts. */
const startedIds = (effects: readonly Effect[]): readonly string[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.CallTarget ? [effect.callId] : []));

test('a call that cannot be sent makes room for the next run', () => {
  const sidecar = createSidecar();
  const [callId = ''] = startedIds(receive(sidecar, runOf('run-1')));
  expect(startedIds(receive(sidecar, runOf('run-2')))).toEqual([]);
  const effects = sidecar.handle({
    kind: EventKind.TargetError,
    callId,
    stage: TargetErrorStage.BeforeWrite,
    detail: 'refused',
  });
  expect(startedIds(effects).length).toEqual(1);
});

test('an answered run whose last subscriber leaves is over', () => {
  const sidecar = createSidecar();
  const [callId = ''] = startedIds(receive(sidecar, runOf('run-1')));
  sidecar.handle({ kind: EventKind.TargetHead, callId, status: 200, contentType: '' });
  Array.from({ length: 600 }, (_, index) =>
    sidecar.handle({ kind: EventKind.TargetChunk, callId, data: `chunk ${index}` }),
  );
  sidecar.handle({ kind: EventKind.TargetEnd, callId });
  expect(sidecar.isDrained()).toEqual(false);
  const effects = receive(sidecar, { kind: MessageKind.Cancel, runId: 'run-1' });
  expect(effects.some(({ kind }) => kind === EffectKind.AbortTarget)).toEqual(false);
  expect(sidecar.isDrained()).toEqual(true);
});
