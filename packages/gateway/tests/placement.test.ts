/** @module Placement by the decisions of the feature for scheduling. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  CallKind,
  EffectKind,
  EventKind,
  Feature,
  PeerMessageKind,
  PeerRole,
  ServiceName,
  TargetResultKind,
  decisionsOf,
  type PublishedConfiguration,
  type StoreItem,
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

const SCHEDULING = decisionsOf([Feature.Scheduling]);

const ENGINE = {
  slots: 7,
  stepsPerPass: 4,
  stepMs: 5.85,
  perSequenceMs: 0.2,
  readTokensPerSecond: 61_200,
  chunkTokens: 512,
  usual: { promptTokens: 800, answerTokens: 23 },
  contextPerThousand: 0,
  pairsPerMillion: 0,
  kvCacheTokens: 217_000,
  expertFraction: 0,
  layerSetCount: 0,
  expertCount: 0,
  placesPerRank: 0,
  spareCapacity: 0,
  expertCopyMs: 0,
};

const CONFIGURATION: PublishedConfiguration = {
  ...configurationOf(1, [routeOf({ kind: CallKind.Streaming })]),
  services: [{ name: 'plain', healthPath: '/', coldPerSecond: 0, engine: ENGINE }],
};

const itemsOf = (...ids: readonly string[]): readonly StoreItem[] => [
  configurationItem(CONFIGURATION),
  ...ids.map((id, index) => targetItem(targetOf(id, { slots: 7, address: `10.0.0.${index}:80` }))),
];

const receiveLoad = (harness: Harness, workTokens: number, longCount = 0): void => {
  harness.post({
    kind: EventKind.PeerMessageReceived,
    address: '10.0.0.2:7000',
    message: {
      kind: PeerMessageKind.Load,
      passes: [],
      counts: [{ instanceId: 't-1', count: 1, workTokens, longCount }],
    },
  });
};

const LONG = { promptTokens: 2_800 };

const SHORT = { promptTokens: 100 };

const answerEvent = (harness: Harness, callId: number): void => {
  const head = headOf({ isEventStream: true });
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
  harness.post({ kind: EventKind.TargetDataReceived, callId, data: Buffer.from('data: x\n\n') });
};

// Guards against gateways that count requests although the feature is on.
test('a short prompt avoids the rank that reads a long one of another gateway', () => {
  const harness = Harness.create(itemsOf('t-1', 't-2'), SCHEDULING);
  receiveLoad(harness, 3_200, 1);
  harness.request(SHORT);
  harness.request(SHORT);
  harness.request(SHORT);
  expect(harness.calledIds()).toEqual(['t-2', 't-2', 't-2']);
});

// Guards against long prompts that avoid a rank after it has read the one before.
test('a long prompt no longer keeps others away once it has been read', () => {
  const harness = Harness.create(itemsOf('t-1', 't-2'), SCHEDULING);
  harness.request(LONG);
  const [firstId] = harness.calledIds();
  const loads = harness.kernel.find(ServiceName.Loads);
  expect(loads.longCountAt(firstId ?? '')).toEqual(1);
  answerEvent(harness, harness.lastCallId());
  expect(loads.longCountAt(firstId ?? '')).toEqual(0);
  expect(loads.workTokensAt(firstId ?? '', 1) < 400).toEqual(true);
  harness.disconnectCallers();
  expect(loads.workTokensAt(firstId ?? '', 1)).toEqual(0);
});

// Guards against a change for deployments that do not ask for the feature.
test('without the feature starts are announced without work', () => {
  const announced = (options: object): object | undefined => {
    const harness = Harness.create(itemsOf('t-1'), options);
    harness.post({
      kind: EventKind.PeerMessageReceived,
      address: '10.0.0.2:7000',
      message: {
        kind: PeerMessageKind.Hello,
        member: {
          name: 'gateway-2',
          role: PeerRole.Gateway,
          address: '10.0.0.2:7000',
          availabilityZone: 'zone-b',
        },
      },
    });
    return harness
      .request(LONG)
      .flatMap((effect) =>
        effect.kind === EffectKind.SendToPeer && effect.message.kind === PeerMessageKind.LoadChange
          ? [effect.message]
          : [],
      )[0];
  };
  const message = { kind: PeerMessageKind.LoadChange, instanceId: 't-1', count: 1 };
  expect(announced({})).toEqual(message);
  expect(announced(SCHEDULING)).toEqual({ ...message, workTokens: 3_082, longCount: 1 });
});

// Guards against the next request that goes to a target which has just rejected one.
test('a target that rejects a request for being full gets none for 100 ms', () => {
  const harness = Harness.create(itemsOf('t-1', 't-2'), SCHEDULING);
  receiveLoad(harness, 0);
  harness.request(SHORT);
  const rejected = harness.calledIds().at(-1) ?? '';
  const callId = harness.lastCallId();
  const load = { runningCount: 7, waitingCount: 3, slots: 7 };
  const head = headOf({ status: 503, isNotRun: true, isSigned: false, load });
  harness.post({ kind: EventKind.TargetHeadReceived, callId, head });
  harness.post({ kind: EventKind.TargetAnswerEnded, callId });
  Array.from({ length: 4 }).forEach(() => harness.request(SHORT));
  expect(harness.calledIds().slice(1).includes(rejected)).toEqual(false);
  harness.advance(101);
  harness.request(SHORT);
  expect(harness.calledIds().at(-1)).toEqual(rejected);
});

// Guards against grey targets that are found only by a health check, which they pass.
test('a target whose calls fail or are slow gets fewer requests than others', () => {
  const [slow, failing, healthy] = ['t-1', 't-2', 't-3'].map((id, index) =>
    targetOf(id, { slots: 7, address: `10.0.0.${index}:80` }),
  );
  const harness = Harness.create(itemsOf('t-1', 't-2', 't-3'), SCHEDULING);
  const results = harness.kernel.find(ServiceName.Results);
  if (slow === undefined || failing === undefined || healthy === undefined) {
    throw new TypeError('three targets');
  }
  Array.from({ length: 20 }).forEach((_, index) => {
    results.recordResult(healthy, { kind: TargetResultKind.Answered, latencyMs: 20 });
    results.recordResult(slow, { kind: TargetResultKind.Answered, latencyMs: 160 });
    results.recordResult(
      failing,
      index % 5 === 0
        ? { kind: TargetResultKind.Failed }
        : { kind: TargetResultKind.Answered, latencyMs: 20 },
    );
  });
  Array.from({ length: 12 }).forEach(() => harness.request(SHORT));
  const countOf = (id: string): number =>
    harness.calledIds().filter((other) => other === id).length;
  expect(countOf('t-3') > countOf('t-2')).toEqual(true);
  expect(countOf('t-3') > countOf('t-1')).toEqual(true);
  expect(countOf('t-1') > 0 && countOf('t-2') > 0).toEqual(true);
  harness.advance(100_000);
  expect(results.conditionOf(failing).weight > 0.99).toEqual(true);
  expect(results.conditionOf(slow).weight > 0.99).toEqual(true);
});
