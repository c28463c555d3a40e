/** @module Outstanding work by target, of this gateway and as others report it. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { RequestWork } from '@ebonysill/scheduling';
import {
  AdmissionVerdict,
  CallKind,
  EffectKind,
  EventKind,
  PeerMessageKind,
  PeerRole,
  ServiceName,
  StartAnnouncement,
  type LoadsApi,
  type PeerMessage,
} from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const PEER_ADDRESS = '10.0.0.2:7000';

const PEER_HELLO: PeerMessage = {
  kind: PeerMessageKind.Hello,
  member: {
    name: 'gateway-2',
    role: PeerRole.Gateway,
    address: PEER_ADDRESS,
    availabilityZone: 'zone-b',
  },
};

const LONG: RequestWork = { readTokens: 2_000, writeTokens: 300, isLong: true };

const SHORT: RequestWork = { readTokens: 400, writeTokens: 300, isLong: false };

const receive = (harness: Harness, message: PeerMessage): void => {
  harness.post({ kind: EventKind.PeerMessageReceived, address: PEER_ADDRESS, message });
};

const workAt = (loads: LoadsApi): readonly [number, number] => [
  loads.workTokensAt('t-1', 1_000),
  loads.longCountAt('t-1'),
];

// Guards against prompts that count as blocking a target after it has read them.
test('work is removed as the prompt is read and the answer ends', () => {
  const harness = Harness.create([]);
  const loads = harness.kernel.find(ServiceName.Loads);
  loads.recordStart('t-1', LONG);
  loads.recordStart('t-1', SHORT);
  expect(workAt(loads)).toEqual([3_000, 1]);
  loads.recordPromptRead('t-1', LONG);
  expect(workAt(loads)).toEqual([1_000, 0]);
  loads.recordEnd('t-1', { ...LONG, readTokens: 0, isLong: false });
  loads.recordEnd('t-1', SHORT);
  expect(workAt(loads)).toEqual([0, 0]);
  expect(loads.countAt('t-1')).toEqual(0);
});

// Guards against other gateways that learn of a long prompt only from the periodic message.
test('a start is announced with the work at its target', () => {
  const harness = Harness.create([]);
  receive(harness, PEER_HELLO);
  const [effect] = harness.kernel.find(ServiceName.Loads).recordStart('t-1', LONG);
  expect(effect?.kind === EffectKind.SendToPeer && effect.message).toEqual({
    kind: PeerMessageKind.LoadChange,
    instanceId: 't-1',
    count: 1,
    workTokens: 2_300,
    longCount: 1,
  });
});

// Guards against targets that look idle because the gateway that loads them is of an older version.
test('requests of a gateway that reports no work count by the usual size', () => {
  const harness = Harness.create([]);
  const loads = harness.kernel.find(ServiceName.Loads);
  loads.recordStart('t-1', SHORT);
  const counts = [{ instanceId: 't-1', count: 3 }];
  receive(harness, { kind: PeerMessageKind.Load, passes: [], counts });
  expect(workAt(loads)).toEqual([3_700, 0]);
  harness.advance(1_600);
  expect(workAt(loads)).toEqual([700, 0]);
});

// Guards against targets that look loaded for 1.5 s after a call that ended within 250 ms.
test('the end of a request that began after the last broadcast is reported', () => {
  const harness = Harness.create([]);
  receive(harness, PEER_HELLO);
  const loads = harness.kernel.find(ServiceName.Loads);
  loads.recordStart('t-1');
  loads.recordEnd('t-1');
  const reportsIn = (spanMs: number): number =>
    harness
      .advance(spanMs)
      .filter(
        (effect) =>
          effect.kind === EffectKind.SendToPeer && effect.message.kind === PeerMessageKind.Load,
      ).length;
  expect(reportsIn(250)).toEqual(1);
  expect(reportsIn(250)).toEqual(0);
  loads.recordStart('t-1');
  loads.recordEnd('t-1');
  expect(reportsIn(250)).toEqual(1);
});

// Guards against slots that stay empty up to 250 ms because the others still count what has ended.
test('ends and prompts that were read are announced with the next start', () => {
  const announcedBy = (startAnnouncement: StartAnnouncement): PeerMessage | undefined => {
    const harness = Harness.create([], { startAnnouncement });
    receive(harness, PEER_HELLO);
    const loads = harness.kernel.find(ServiceName.Loads);
    loads.recordStart('t-1', SHORT);
    loads.recordStart('t-2', LONG);
    loads.recordEnd('t-1', SHORT);
    loads.recordPromptRead('t-2', LONG);
    const [effect] = loads.recordStart('t-3', SHORT);
    return effect?.kind === EffectKind.SendToPeer ? effect.message : undefined;
  };
  const started = {
    kind: PeerMessageKind.LoadChange as const,
    instanceId: 't-3',
    count: 1,
    workTokens: 700,
  };
  const ended = [
    { instanceId: 't-1', count: 0, workTokens: 0 },
    { instanceId: 't-2', count: 1, workTokens: 300 },
  ];
  expect(announcedBy(StartAnnouncement.Target)).toEqual(started);
  expect(announcedBy(StartAnnouncement.TargetAndEnds)).toEqual({ ...started, ended });
});

// Guards against an announcement whose ends are ignored.
test('ends that another gateway announces count at once', () => {
  const harness = Harness.create([]);
  const loads = harness.kernel.find(ServiceName.Loads);
  const counts = [{ instanceId: 't-1', count: 3, workTokens: 900 }];
  receive(harness, { kind: PeerMessageKind.Load, passes: [], counts });
  const ended = [{ instanceId: 't-1', count: 2, workTokens: 500 }];
  receive(harness, { kind: PeerMessageKind.LoadChange, instanceId: 't-2', count: 1, ended });
  expect(workAt(loads)).toEqual([500, 0]);
  expect(loads.countAt('t-1')).toEqual(2);
});

// Guards against a second pass over all targets for each request; 192 of them at a third of a core.
test('the pools of a request are evaluated once', () => {
  let evaluationCount = 0;
  const harness = Harness.create(
    [
      configurationItem(configurationOf(1, [routeOf({ kind: CallKind.Streaming })])),
      targetItem(targetOf('t-1')),
    ],
    {
      decideAdmission: () => {
        evaluationCount += 1;
        return AdmissionVerdict.Admitted;
      },
    },
  );
  harness.request();
  expect(harness.calledIds()).toEqual(['t-1']);
  expect(evaluationCount).toEqual(1);
  harness.request();
  expect(evaluationCount).toEqual(2);
});
