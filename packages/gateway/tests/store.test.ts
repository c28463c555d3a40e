/** @module The copy of the store: pages, watches, failures. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  EffectKind,
  EventKind,
  StoreFailure,
  StoreReadKind,
  type Effect,
  type ReadStoreEffect,
} from '../src/index.js';
import { Harness, configurationItem, configurationOf, routeOf } from './harness.js';

const readsOf = (effects: readonly Effect[]): readonly ReadStoreEffect[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.ReadStore ? [effect] : []));

const fail = (harness: Harness, read: StoreReadKind, failure: StoreFailure): readonly Effect[] => {
  const before = harness.effects.length;
  harness.post({ kind: EventKind.StoreFailed, read, failure, detail: 'test' });
  harness.advance(400, false);
  return harness.effects.slice(before);
};

test('watches from the revision of the first page', () => {
  const harness = Harness.create([]);
  const [, watch] = readsOf(harness.effects);
  expect(watch?.read).toEqual(StoreReadKind.Watch);
  expect(watch?.afterRevision).toEqual(2);
});

test('reads the next page after the last key', () => {
  const harness = Harness.create([]);
  const effects = harness.post({
    kind: EventKind.StoreRead,
    read: StoreReadKind.Page,
    items: [],
    revision: 9,
    nextAfterKey: 'k-50',
  });
  expect(readsOf(effects).map(({ afterKey }) => afterKey)).toEqual(['k-50']);
});

test('a failed watch resumes from its revision', () => {
  const harness = Harness.create([]);
  const [retry] = readsOf(fail(harness, StoreReadKind.Watch, StoreFailure.Unreachable));
  expect(retry?.read).toEqual(StoreReadKind.Watch);
  expect(retry?.afterRevision).toEqual(2);
});

test('reads all items again after a lost history', () => {
  const harness = Harness.create([]);
  const [retry] = readsOf(fail(harness, StoreReadKind.Watch, StoreFailure.HistoryExpired));
  expect(retry?.read).toEqual(StoreReadKind.Page);
});

test('a lost history keeps the configuration in force', () => {
  const harness = Harness.create([configurationItem(configurationOf(1, [routeOf()]))]);
  fail(harness, StoreReadKind.Watch, StoreFailure.HistoryExpired);
  harness.request({ path: '/b/x' });
  expect(harness.statuses()).toEqual([404]);
});

test('a process without a configuration answers 503', () => {
  const harness = Harness.create([]);
  harness.request();
  expect(harness.statuses()).toEqual([503]);
  expect(harness.isReady()).toEqual(false);
});

test('a watch that is answered at once is followed by a pause', () => {
  const harness = Harness.create([]);
  const effects = harness.post({
    kind: EventKind.StoreRead,
    read: StoreReadKind.Watch,
    items: [],
    revision: 10,
  });
  expect(readsOf(effects)).toEqual([]);
  expect(readsOf(harness.advance(300, false)).length).toEqual(1);
});

// Guards against an answer that waited while the process was frozen and counts as new.
test('the copy is as old as the watch that confirmed it', () => {
  const harness = Harness.create([configurationItem(configurationOf(1, [routeOf()]))]);
  harness.advance(3_000, false);
  harness.read(StoreReadKind.Watch, []);
  harness.request({ path: '/b/x' });
  expect(harness.statuses()).toEqual([503]);
});

test('an answer that is late is followed by a watch that does not wait', () => {
  const harness = Harness.create([]);
  harness.advance(3_000, false);
  const before = harness.effects.length;
  harness.read(StoreReadKind.Watch, []);
  const [next] = readsOf(harness.effects.slice(before));
  expect(next?.waitMs).toEqual(0);
});

test('a failed watch is followed by one that does not wait', () => {
  const harness = Harness.create([]);
  const [retry] = readsOf(fail(harness, StoreReadKind.Watch, StoreFailure.Unreachable));
  expect(retry?.waitMs).toEqual(0);
});

test('pages confirm the copy as of the first of them', () => {
  const harness = Harness.create([configurationItem(configurationOf(1, [routeOf()]))]);
  fail(harness, StoreReadKind.Watch, StoreFailure.HistoryExpired);
  const page = { kind: EventKind.StoreRead, read: StoreReadKind.Page, items: [], revision: 9 };
  harness.post({ ...page, kind: EventKind.StoreRead, nextAfterKey: 'k-50' });
  harness.advance(3_000, false);
  harness.post({ ...page, kind: EventKind.StoreRead });
  harness.request({ path: '/b/x' });
  expect(harness.statuses()).toEqual([503]);
});

test('the copy stays fresh enough for every answer while the store is up', () => {
  const harness = Harness.create([configurationItem(configurationOf(1, [routeOf()]))]);
  Array.from({ length: 100 }).forEach(() => {
    harness.advance(100);
    harness.request({ path: '/b/x' });
  });
  expect(new Set(harness.statuses())).toEqual(new Set([404]));
});
