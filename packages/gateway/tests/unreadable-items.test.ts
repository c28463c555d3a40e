/** @module Items of the configuration that cannot be read close themselves, and nothing else. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  EffectKind,
  LogTopic,
  type PublishedConfiguration,
  type Route,
  type UnreadableItems,
} from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const READABLE: UnreadableItems = {
  closedRoutes: [],
  hasUnplacedRoutes: false,
  hasOrganisations: false,
  hasUnnamedServices: false,
  fields: [],
};

const configurationWith = (
  unreadable: Partial<UnreadableItems>,
  routes: readonly Route[] = [routeOf(), routeOf({ name: 'r-2', pathPrefix: '/a/b/' })],
): PublishedConfiguration => ({
  ...configurationOf(1, routes),
  unreadable: { ...READABLE, ...unreadable },
});

const gateway = (configuration: PublishedConfiguration): Harness =>
  Harness.create([
    configurationItem(configuration),
    targetItem(targetOf('t-1', { coldRemainingMs: 60_000 })),
  ]);

// Guards against one broken organisation that closes the service to all others.
test('an organisation that cannot be read closes no other', () => {
  const harness = gateway(configurationWith({ hasOrganisations: true }));
  harness.request();
  harness.request({ credential: 'key-of-the-broken-one' });
  harness.request({ path: '/z/x' });
  expect(harness.calledIds()).toEqual(['t-1']);
  expect(harness.statuses()).toEqual([503, 404]);
});

test('a route that cannot be read is closed, also to a shorter prefix', () => {
  const closedRoutes = [{ host: 'app.example', pathPrefix: '/a/c/' }];
  const harness = gateway(configurationWith({ closedRoutes }));
  harness.request({ path: '/a/c/x' });
  expect(harness.calledIds()).toEqual([]);
  expect(harness.statuses()).toEqual([503]);
  harness.request({ path: '/a/b/x' });
  harness.request({ path: '/a/x' });
  expect(harness.calledIds()).toEqual(['t-1', 't-1']);
});

test('a route that cannot be read closes an equal one that can', () => {
  const closedRoutes = [{ host: 'app.example', pathPrefix: '/a/' }];
  const harness = gateway(configurationWith({ closedRoutes }));
  harness.request();
  expect(harness.statuses()).toEqual([503]);
});

test('with a route of unknown place no path is denied', () => {
  const harness = gateway(configurationWith({ hasUnplacedRoutes: true }));
  harness.request({ path: '/z/x' });
  harness.request();
  expect(harness.statuses()).toEqual([503]);
  expect(harness.calledIds()).toEqual(['t-1']);
});

test('with a service of unknown name cold targets get little', () => {
  const configuration = configurationWith({ hasUnnamedServices: true });
  const harness = gateway({ ...configuration, services: [] });
  // One in a second from all gateways, of which twelve are assumed: this one has its turn once.
  Array.from({ length: 12 }, () => {
    Array.from({ length: 5 }, () => harness.request());
    harness.disconnectCallers();
    return harness.advance(1_000);
  });
  expect(harness.calledIds().length).toEqual(1);
});

test('the log names each field that cannot be read, up to a number', () => {
  const fields = Array.from({ length: 100 }, (_, index) => ({
    item: `tenants[${index}]`,
    field: 'api-keys',
    detail: 'missing',
  }));
  const harness = gateway(configurationWith({ fields }));
  const lines = harness.effects.flatMap((effect) =>
    effect.kind === EffectKind.Log && effect.topic === LogTopic.FieldUnreadable
      ? [effect.fields]
      : [],
  );
  expect(lines.length).toEqual(33);
  expect(lines[0]).toEqual({ item: 'tenants[0]', field: 'api-keys', detail: 'missing' });
  expect(lines.at(-1)).toEqual({ count: 68, detail: 'others' });
});
