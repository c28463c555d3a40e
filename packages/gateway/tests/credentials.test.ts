/** @module Credentials: what is left of a configuration says nothing of whether they are needed. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  ItemKind,
  ItemScope,
  StoreReadKind,
  type PublishedConfiguration,
  type StoreItem,
} from '../src/index.js';
import {
  Harness,
  configurationItem,
  configurationOf,
  routeOf,
  targetItem,
  targetOf,
} from './harness.js';

const ROUTES = [routeOf(), routeOf({ name: 'open', pathPrefix: '/open/', isPublic: true })];

const gateway = (configuration: PublishedConfiguration): Harness =>
  Harness.create([configurationItem(configuration), targetItem(targetOf('t-1'))]);

const UNREADABLE: StoreItem = {
  kind: ItemKind.Unreadable,
  scope: ItemScope.Configuration,
  id: '',
  detail: 'no list',
};

// Guards against routes that open to anyone when the last credential is revoked.
test('an organisation without credentials leaves routes closed', () => {
  const harness = gateway(configurationOf(1, ROUTES, []));
  harness.request({ credential: 'key-1' });
  expect(harness.statuses()).toEqual([401]);
});

test('an empty list of organisations leaves routes closed', () => {
  const harness = gateway({ ...configurationOf(1, ROUTES), organisations: [] });
  harness.request({ credential: 'key-1' });
  expect(harness.statuses()).toEqual([401]);
});

test('a configuration without organisations needs no credentials', () => {
  const open = { ...configurationOf(1, ROUTES), needsCredentials: false, organisations: [] };
  const harness = gateway(open);
  harness.request({ credential: 'key-1' });
  expect(harness.calledIds()).toEqual(['t-1']);
});

// Guards against a credential published as an empty text, which callers without one also send.
test('an empty credential belongs to nobody', () => {
  const harness = gateway(configurationOf(1, ROUTES, ['']));
  harness.request({ credential: '' });
  expect(harness.statuses()).toEqual([401]);
});

// Guards against credentials that stay valid because the version that revokes them is unreadable.
test('an unreadable configuration ends what the one before allowed', () => {
  const harness = gateway(configurationOf(1, ROUTES));
  harness.read(StoreReadKind.Watch, [UNREADABLE]);
  harness.advance(3_000);
  harness.request();
  harness.advance(1_500);
  harness.request();
  harness.request({ path: '/open/x' });
  expect(harness.calledIds()).toEqual(['t-1', 't-1']);
  expect(harness.statuses()).toEqual([503]);
});

// Guards against a revoked credential that stays valid because the answer waited in a frozen process.
test('an unreadable configuration is as old as the read before it', () => {
  const harness = gateway(configurationOf(1, ROUTES));
  harness.advance(3_000, false);
  harness.read(StoreReadKind.Watch, [UNREADABLE]);
  harness.advance(1_100);
  harness.request();
  expect(harness.statuses()).toEqual([503]);
});

// Guards against a steady clock that stands still while the machine is suspended.
test('suspended time counts in the age of an unreadable configuration', () => {
  const harness = gateway(configurationOf(1, ROUTES));
  harness.read(StoreReadKind.Watch, [UNREADABLE]);
  harness.suspendedMs += 4_100;
  harness.advance(400);
  harness.request();
  expect(harness.statuses()).toEqual([503]);
});

test('a readable configuration ends the time of an unreadable one', () => {
  const harness = gateway(configurationOf(1, ROUTES));
  harness.read(StoreReadKind.Watch, [UNREADABLE]);
  harness.advance(5_000);
  harness.read(StoreReadKind.Watch, [configurationItem(configurationOf(2, ROUTES))]);
  harness.request();
  expect(harness.calledIds()).toEqual(['t-1']);
});
