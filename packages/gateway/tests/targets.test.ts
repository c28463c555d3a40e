/** @module Targets: leaving, removed, lapsed, in zones taken out. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  EventKind,
  ItemKind,
  ItemScope,
  StoreFailure,
  StoreReadKind,
  TargetPhase,
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

const gateway = (): Harness =>
  Harness.create([
    configurationItem(configurationOf(1, [routeOf()])),
    targetItem(targetOf('t-1')),
    targetItem(targetOf('t-2', { availabilityZone: 'zone-b' })),
  ]);

const removed = (scope: ItemScope, id: string): StoreItem => ({
  kind: ItemKind.Removed,
  scope,
  id,
});

/** Identifiers of the targets of thirty requests. */
const usedIds = (harness: Harness): readonly string[] => {
  const before = harness.calledIds().length;
  Array.from({ length: 30 }, () => harness.request());
  harness.disconnectCallers();
  return [...new Set(harness.calledIds().slice(before))].sort();
};

const failStore = (harness: Harness): void => {
  harness.post({
    kind: EventKind.StoreFailed,
    read: StoreReadKind.Watch,
    failure: StoreFailure.Unreachable,
    detail: 'reset',
  });
};

/** Two failed reads, far enough apart for entries to lapse between them. */
const failStoreForLong = (harness: Harness): void => {
  failStore(harness);
  harness.advance(2_000, false);
  failStore(harness);
};

test('uses all targets', () => {
  expect(usedIds(gateway())).toEqual(['t-1', 't-2']);
});

test('does not use a leaving target', () => {
  const harness = gateway();
  const leaving = targetOf('t-1', { phase: TargetPhase.Leaving });
  harness.read(StoreReadKind.Watch, [targetItem(leaving)]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('does not use a removed target', () => {
  const harness = gateway();
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('does not use a zone while it is taken out', () => {
  const harness = gateway();
  harness.read(StoreReadKind.Watch, [
    { kind: ItemKind.ZoneOut, scope: ItemScope.Zone, zone: 'zone-b' },
  ]);
  expect(usedIds(harness)).toEqual(['t-1']);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Zone, 'zone-b')]);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
});

test('keeps a target that lapsed during an outage of the store', () => {
  const harness = gateway();
  failStoreForLong(harness);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
});

test('drops a lapsed target that is not published again within the drain timeout', () => {
  const harness = gateway();
  failStoreForLong(harness);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  harness.advance(1_900);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
  harness.advance(110);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('keeps a lapsed target that is published again', () => {
  const harness = gateway();
  failStoreForLong(harness);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  harness.advance(1_000);
  harness.read(StoreReadKind.Watch, [targetItem(targetOf('t-1'))]);
  harness.advance(3_000);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
});

test('drops a leaving target that lapsed', () => {
  const harness = gateway();
  const leaving = targetOf('t-1', { phase: TargetPhase.Leaving });
  harness.read(StoreReadKind.Watch, [targetItem(leaving)]);
  failStoreForLong(harness);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('uses no target whose entry cannot be read', () => {
  const harness = gateway();
  harness.read(StoreReadKind.Watch, [
    { kind: ItemKind.Unreadable, scope: ItemScope.Target, id: 't-1', detail: 'no address' },
  ]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('drops targets that a full read does not contain', () => {
  const harness = gateway();
  harness.read(StoreReadKind.Page, [targetItem(targetOf('t-2'))]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

// Guards against requests to a target that has left, because a watch had just failed.
test('a single failed read keeps no target that has left', () => {
  const harness = gateway();
  failStore(harness);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('a removal after the store has returned keeps no target', () => {
  const harness = gateway();
  failStoreForLong(harness);
  harness.advance(1_400);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

// Guards against requests to a target that has left, because two reads had failed shortly before.
test('failed reads within two heartbeats keep no target that has left', () => {
  const harness = gateway();
  harness.advance(1_200);
  failStore(harness);
  harness.advance(320, false);
  failStore(harness);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

// Guards against requests to a target that has left, as long as the store fails again and again.
test('a second outage does not extend the time of a lapsed target', () => {
  const harness = gateway();
  failStoreForLong(harness);
  harness.read(StoreReadKind.Watch, [removed(ItemScope.Target, 't-1')]);
  failStore(harness);
  harness.advance(1_950, false);
  failStore(harness);
  harness.read(StoreReadKind.Page, [targetItem(targetOf('t-2', { availabilityZone: 'zone-b' }))]);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
  harness.advance(60);
  expect(usedIds(harness)).toEqual(['t-2']);
});

// Guards against targets that left while the store discarded its history.
test('a lost history keeps no target that a full read lacks', () => {
  const harness = gateway();
  const failure = StoreFailure.HistoryExpired;
  const lost = { kind: EventKind.StoreFailed, read: StoreReadKind.Watch, failure, detail: '410' };
  harness.post({ ...lost, kind: EventKind.StoreFailed });
  harness.post({ ...lost, kind: EventKind.StoreFailed });
  harness.read(StoreReadKind.Page, [targetItem(targetOf('t-2'))]);
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('a zone that a full read lacks after an outage stays out for the grace', () => {
  const harness = gateway();
  const zoneOut: StoreItem = { kind: ItemKind.ZoneOut, scope: ItemScope.Zone, zone: 'zone-b' };
  harness.read(StoreReadKind.Watch, [zoneOut]);
  failStoreForLong(harness);
  const targets = [targetOf('t-1'), targetOf('t-2', { availabilityZone: 'zone-b' })];
  harness.read(StoreReadKind.Page, targets.map(targetItem));
  expect(usedIds(harness)).toEqual(['t-1']);
  harness.advance(2_010);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
});
