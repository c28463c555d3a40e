/** @module The delay that refused callers are told, by the cause of the refusal. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  EffectKind,
  EventKind,
  PeerMessageKind,
  ServiceName,
  type CallerRequest,
  type Effect,
  type LoadMessage,
  type StoreItem,
} from '../src/index.js';
import { Fleet } from './fleet.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const ITEMS: readonly StoreItem[] = [
  configurationItem(configurationOf(1, [routeOf({ timeoutMs: 8_000 })])),
  targetItem(targetOf('t-1')),
];

const REQUEST: Partial<CallerRequest> = { remainingMs: 8_000, body: Buffer.from('prompt') };

const toldMs = (effects: readonly Effect[]): readonly (number | undefined)[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.SendAnswer ? [effect.retryAfterMs] : []));

const ask = (harness: Harness, changes: Partial<CallerRequest> = {}): number | undefined =>
  toldMs(harness.request({ ...REQUEST, ...changes }))[0];

const loadsOf = (effects: readonly Effect[]): readonly LoadMessage[] =>
  effects.flatMap((effect) =>
    effect.kind === EffectKind.SendToPeer && effect.message.kind === PeerMessageKind.Load
      ? [effect.message]
      : [],
  );

const report = (harness: Harness, copyAgeMs?: number): void => {
  harness.post({
    kind: EventKind.PeerMessageReceived,
    address: '10.0.0.2:7000',
    message: {
      kind: PeerMessageKind.Load,
      counts: [],
      passes: [],
      ...(copyAgeMs === undefined ? {} : { copyAgeMs }),
    },
  });
};

/** Gateways of which those in `lost` have had no store for 4.5 s. */
const fleetWithout = (lost: readonly number[]): readonly Harness[] => {
  const fleet = Fleet.create(3, ITEMS);
  lost.forEach((index) => fleet.loseStore(index));
  fleet.run(4_500);
  return fleet.harnesses;
};

// Guards against 2 s of waiting for a caller whom every other gateway would serve.
test('a gateway that alone has lost the store sends callers on', () => {
  const [first, second] = fleetWithout([0]);
  expect(first && ask(first)).toEqual(40);
  expect(second && ask(second)).toEqual(undefined);
});

// Guards against callers that spend their only retry while no gateway can serve.
test('a fleet that has lost the store sends callers back by their time', () => {
  const harnesses = fleetWithout([0, 1, 2]);
  expect(harnesses.map((harness) => ask(harness))).toEqual([2_000, 2_000, 2_000]);
});

test('a caller that returns to the same trouble is told twice the delay', () => {
  const [first] = fleetWithout([0]);
  const told = Array.from({ length: 8 }, () => first && ask(first));
  expect(told).toEqual([40, 80, 160, 320, 640, 1_280, 2_000, 2_000]);
});

// Guards against delays that double for callers who were not refused.
test('another caller is told the first delay', () => {
  const [first] = fleetWithout([0]);
  expect(first && [ask(first), ask(first, { body: Buffer.from('other') })]).toEqual([40, 40]);
});

test('what a caller was told counts until its deadline', () => {
  const [first] = fleetWithout([0]);
  const told = first && ask(first, { remainingMs: 1_000 });
  first?.advance(1_000, false);
  expect([told, first && ask(first, { remainingMs: 1_000 })]).toEqual([40, 40]);
});

// Guards against lost messages: the fleet's copies are then unknown, not old.
test('a gateway cut off from its peers takes the trouble for its own', () => {
  const harness = Harness.create(ITEMS);
  report(harness, 100);
  harness.advance(4_500, false);
  expect([ask(harness), ask(harness)]).toEqual([40, 80]);
});

test('a gateway that never knew others goes by the time of the caller', () => {
  const harness = Harness.create(ITEMS);
  harness.advance(4_500, false);
  expect(ask(harness)).toEqual(2_000);
});

test('gateways of earlier versions report no age and count as unknown', () => {
  const harness = Harness.create(ITEMS);
  harness.advance(4_500, false);
  report(harness);
  expect(ask(harness)).toEqual(40);
});

// Guards against a starting gateway that holds callers off while others serve.
test('a gateway without a configuration sends callers on to those that have one', () => {
  const harness = Harness.create([]);
  report(harness, 100);
  expect(ask(harness)).toEqual(40);
});

test('a fleet without a configuration sends callers back by their time', () => {
  const harness = Harness.create([]);
  report(harness, Number.MAX_SAFE_INTEGER);
  expect(ask(harness)).toEqual(2_000);
});

// Guards against reports that are believed after the process was suspended.
test('reports from before a suspension say nothing', () => {
  const harness = Harness.create(ITEMS);
  report(harness, 5_000);
  harness.suspendedMs += 10_000;
  expect(ask(harness)).toEqual(40);
});

test('a caller that returns to a draining gateway is told twice the delay', () => {
  const harness = Harness.create(ITEMS);
  harness.perform(harness.kernel.find(ServiceName.Lifecycle).drain());
  harness.advance(7_000);
  expect([ask(harness), ask(harness)]).toEqual([20, 40]);
});

// Guards against peers that know nothing of an idle gateway, and against its messages adding up.
test('an idle gateway reports the age of its copy once a second', () => {
  const harness = Harness.create(ITEMS, { seeds: ['10.0.0.2:7000'] });
  harness.post({
    kind: EventKind.PeerMessageReceived,
    address: '10.0.0.2:7000',
    message: {
      kind: PeerMessageKind.Hello,
      member: {
        ...harness.kernel.find(ServiceName.Members).self(),
        name: 'gateway-2',
        address: '10.0.0.2:7000',
      },
    },
  });
  harness.advance(2_250, false);
  expect(loadsOf(harness.effects).map(({ copyAgeMs }) => copyAgeMs)).toEqual([250, 1_250, 2_250]);
});
