/** @module The drain of a gateway: accepted requests are not interrupted. */
import { test } from 'node:test';
import { expect } from 'earl';
import { CallKind, EffectKind, EventKind, ServiceName } from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const gateway = (): Harness =>
  Harness.create([
    configurationItem(
      configurationOf(1, [
        routeOf(),
        routeOf({ name: 'r-2', pathPrefix: '/p/', kind: CallKind.NonIdempotent, timeoutMs: 3_009 }),
        routeOf({ pathPrefix: '/s/', kind: CallKind.Streaming, maxPauseMs: 120, timeoutMs: 8_000 }),
      ]),
    ),
    targetItem(targetOf('t-1')),
  ]);

const drain = (harness: Harness): void => {
  harness.perform(harness.kernel.find(ServiceName.Lifecycle).drain());
};

const hasStopped = (harness: Harness): boolean =>
  harness.effects.some(({ kind }) => kind === EffectKind.Stop);

test('is ready until it drains', () => {
  const harness = gateway();
  expect(harness.isReady()).toEqual(true);
  drain(harness);
  expect(harness.isReady()).toEqual(false);
});

test('is not ready with a stale store copy', () => {
  const harness = gateway();
  harness.advance(4_000, false);
  expect(harness.isReady()).toEqual(false);
});

test('accepts requests while it drains', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(5_000);
  harness.request();
  expect(harness.calledIds().length).toEqual(1);
});

test('refuses streams late in the drain', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(2_900);
  harness.request({ path: '/s/x' });
  harness.advance(200);
  harness.request({ path: '/s/x' });
  expect(harness.calledIds().length).toEqual(1);
  expect(harness.statuses()).toEqual([503]);
});

test('refuses all requests at the end of the drain', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(2_000);
  harness.request({ path: '/s/x', remainingMs: 8_000 });
  harness.advance(5_400);
  harness.request();
  expect(harness.calledIds().length).toEqual(1);
  expect(harness.statuses()).toEqual([503]);
});

test('closes idle connections only after load balancer removal', () => {
  const harness = gateway();
  drain(harness);
  const early = harness.advance(2_100);
  const later = harness.advance(200);
  expect(early.some(({ kind }) => kind === EffectKind.CloseIdleCallers)).toEqual(false);
  expect(later.some(({ kind }) => kind === EffectKind.CloseIdleCallers)).toEqual(true);
});

test('stops late in the grace period when idle', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(6_300);
  expect(hasStopped(harness)).toEqual(false);
  harness.post({ kind: EventKind.CallersDisconnected });
  harness.advance(400);
  expect(hasStopped(harness)).toEqual(true);
});

test('waits for connections that were just accepted', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(7_500);
  expect(hasStopped(harness)).toEqual(false);
  harness.advance(200);
  expect(hasStopped(harness)).toEqual(true);
});

test('does not stop while a request is in progress', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(2_000);
  harness.request({ path: '/s/x', remainingMs: 8_000 });
  harness.advance(5_500);
  expect(hasStopped(harness)).toEqual(false);
  harness.disconnectCallers();
  harness.advance(200);
  expect(hasStopped(harness)).toEqual(true);
});

test('refuses new connections before it stops', () => {
  const harness = gateway();
  drain(harness);
  const early = harness.advance(6_000);
  expect(early.some(({ kind }) => kind === EffectKind.StopAccepting)).toEqual(false);
  harness.advance(200);
  harness.post({ kind: EventKind.CallersDisconnected });
  harness.advance(500);
  const kinds = harness.effects.map(({ kind }) => kind);
  const stops = kinds.filter(
    (kind) => kind === EffectKind.StopAccepting || kind === EffectKind.Stop,
  );
  expect(stops).toEqual([EffectKind.StopAccepting, EffectKind.Stop]);
});

test('answers a request that arrives after new connections are refused', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(6_300);
  harness.request();
  expect(harness.statuses()).toEqual([503]);
  expect(hasStopped(harness)).toEqual(false);
});

test('refuses a request that may not end before the stop', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(4_500);
  harness.request({ path: '/p/x' });
  harness.advance(200);
  const effects = harness.request({ path: '/p/x', remainingMs: 3_009 });
  const [answer] = effects.flatMap((effect) =>
    effect.kind === EffectKind.SendAnswer ? [effect] : [],
  );
  expect([answer?.status, answer?.retryAfterMs]).toEqual([503, 20]);
  harness.request({ path: '/p/x', remainingMs: 2_500 });
  expect(harness.calledIds().length).toEqual(2);
});

test('answers what is still in progress at the end of the grace period', () => {
  const harness = gateway();
  drain(harness);
  harness.advance(2_900);
  harness.request({ path: '/s/x', remainingMs: 8_000 });
  harness.request({ path: '/p/x' });
  harness.advance(4_300, true);
  expect(harness.statuses()).toEqual([504]);
  harness.advance(400);
  const ends = harness.effects.filter(
    ({ kind }) => kind === EffectKind.SendAnswer || kind === EffectKind.Stop,
  );
  expect(harness.statuses()).toEqual([504, 502]);
  expect(ends.map(({ kind }) => kind)).toEqual([
    EffectKind.SendAnswer,
    EffectKind.SendAnswer,
    EffectKind.Stop,
  ]);
});
