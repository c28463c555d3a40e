/** @module What a cold target gets from a fleet of more gateways than it takes requests in a second. */
import { test } from 'node:test';
import { expect } from 'earl';
import type { StoreItem } from '../src/index.js';
import { Fleet } from './fleet.js';
import { configurationItem, configurationOf, routeOf, targetItem, targetOf } from './harness.js';

const COLD_MS = 8_000;

const WINDOW_MS = 1_000;

/** Factor and slack of the deployments. */
const maxCountOf = (perSecond: number): number => 1.5 * perSecond + 5;

const coldItems = (perSecond: number): readonly StoreItem[] => {
  const configuration = configurationOf(1, [routeOf()]);
  const services = configuration.services.map((service) => ({
    ...service,
    coldPerSecond: perSecond,
  }));
  return [
    configurationItem({ ...configuration, services }),
    targetItem(targetOf('t-1', { coldRemainingMs: COLD_MS })),
  ];
};

/** Requests at every gateway in each step of the time. */
const requestEverywhere = (fleet: Fleet, spanMs: number): void =>
  fleet.run(spanMs, () =>
    fleet.harnesses.forEach((harness) => {
      harness.request();
      harness.disconnectCallers();
    }),
  );

const fullestSecond = (timesMs: readonly number[]): number =>
  Math.max(
    0,
    ...timesMs.map(
      (startMs) => timesMs.filter((ms) => ms >= startMs && ms < startMs + WINDOW_MS).length,
    ),
  );

// Guards against a cold target that crashes, since every gateway sends it a request in the same second.
[
  { gatewayCount: 10, perSecond: 2 },
  { gatewayCount: 36, perSecond: 17 },
].forEach(({ gatewayCount, perSecond }) => {
  test(`${gatewayCount} gateways send a cold target that takes ${perSecond} no more than it bears`, () => {
    const fleet = Fleet.create(gatewayCount, coldItems(perSecond));
    requestEverywhere(fleet, COLD_MS - WINDOW_MS);
    const timesMs = fleet.calls.map(({ atMs }) => atMs);
    expect(fullestSecond(timesMs)).toBeLessThan(maxCountOf(perSecond) + 1);
    expect(timesMs.length).toBeGreaterThan(perSecond);
  });
});

// The same for gateways that hear nothing of each other any more.
test('gateways that are cut off from each other send a cold target no more than it bears', () => {
  let isCut = false;
  const fleet = Fleet.create(36, coldItems(17), () => isCut);
  fleet.run(200);
  isCut = true;
  requestEverywhere(fleet, COLD_MS - 2 * WINDOW_MS);
  expect(fullestSecond(fleet.calls.map(({ atMs }) => atMs))).toBeLessThan(maxCountOf(17) + 1);
});
