/** @module A store that was restored from a copy: what was written since is gone, then written again. */
import { test } from 'node:test';
import { expect } from 'earl';
import {
  EffectKind,
  EventKind,
  ItemKind,
  ItemScope,
  StoreFailure,
  StoreReadKind,
  TargetPhase,
  type Effect,
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

const ADDED_ROUTE = routeOf({ name: 'r-2', pathPrefix: '/b/' });

const CONFIGURATION = configurationItem(configurationOf(1, [routeOf()]));

const ZONE_OUT: StoreItem = { kind: ItemKind.ZoneOut, scope: ItemScope.Zone, zone: 'zone-b' };

interface Answer {
  readonly era: number;
  readonly revision: number;
  readonly items?: readonly StoreItem[];
  readonly nextAfterKey?: string;
}

const answerRead = (
  harness: Harness,
  read: StoreReadKind,
  { items = [], ...answer }: Answer,
): readonly Effect[] => harness.post({ kind: EventKind.StoreRead, read, items, ...answer });

const watch = (harness: Harness, answer: Answer): readonly Effect[] =>
  answerRead(harness, StoreReadKind.Watch, answer);

const page = (harness: Harness, answer: Answer): readonly Effect[] =>
  answerRead(harness, StoreReadKind.Page, answer);

const readsOf = (effects: readonly Effect[]): readonly StoreReadKind[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.ReadStore ? [effect.read] : []));

/** A gateway that has confirmed its copy in the first era at revision 20. */
const gateway = (items: readonly StoreItem[] = [targetItem(targetOf('t-1'))]): Harness => {
  const harness = Harness.create([CONFIGURATION, ...items]);
  watch(harness, { era: 1, revision: 20 });
  harness.advance(100, false);
  return harness;
};

/** Identifiers of the targets of thirty requests. */
const usedIds = (harness: Harness): readonly string[] => {
  const before = harness.calledIds().length;
  Array.from({ length: 30 }, () => harness.request());
  harness.disconnectCallers();
  return [...new Set(harness.calledIds().slice(before))].sort();
};

test('a store that has passed the known revision again is read anew', () => {
  const harness = gateway();
  // Version 2 was written again at revision 18, which the watch from revision 20 does not return.
  expect(readsOf(watch(harness, { era: 2, revision: 23 }))).toEqual([StoreReadKind.Page]);
  const added = configurationItem(configurationOf(2, [routeOf(), ADDED_ROUTE]));
  page(harness, { era: 2, revision: 23, items: [added, targetItem(targetOf('t-1'))] });
  harness.request({ path: '/b/x' });
  expect(harness.calledIds()).toEqual(['t-1']);
});

test('a refusal tells that the store was restored', () => {
  const harness = gateway();
  harness.post({
    kind: EventKind.StoreFailed,
    read: StoreReadKind.Watch,
    failure: StoreFailure.Refused,
    era: 2,
    detail: 'status 503',
  });
  expect(readsOf(harness.advance(400, false))).toEqual([StoreReadKind.Page]);
});

test('a store that is restored between two pages is read from the first page', () => {
  const harness = gateway([targetItem(targetOf('t-1')), targetItem(targetOf('t-2'))]);
  watch(harness, { era: 2, revision: 23 });
  const first = [CONFIGURATION, targetItem(targetOf('t-1'))];
  page(harness, { era: 2, revision: 24, items: first, nextAfterKey: 'k' });
  const effects = page(harness, { era: 3, revision: 21 });
  expect(
    effects.flatMap((effect) => (effect.kind === EffectKind.ReadStore ? [effect.afterKey] : [])),
  ).toEqual([undefined]);
  harness.advance(3_000, false);
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
  page(harness, { era: 3, revision: 25, items: [CONFIGURATION, targetItem(targetOf('t-2'))] });
  harness.advance(3_000, false);
  watch(harness, { era: 3, revision: 25 });
  expect(usedIds(harness)).toEqual(['t-2']);
});

test('a restored store does not bring an older configuration back', () => {
  const harness = gateway();
  const added = configurationItem(configurationOf(2, [routeOf(), ADDED_ROUTE]));
  watch(harness, { era: 1, revision: 21, items: [added] });
  watch(harness, { era: 2, revision: 23 });
  page(harness, { era: 2, revision: 23, items: [CONFIGURATION, targetItem(targetOf('t-1'))] });
  harness.request({ path: '/b/x' });
  expect(harness.calledIds()).toEqual(['t-1']);
});

test('a target that a restored store lacks is kept until it is published again', () => {
  const harness = gateway([targetItem(targetOf('t-1')), targetItem(targetOf('t-2'))]);
  watch(harness, { era: 2, revision: 23 });
  page(harness, { era: 2, revision: 23, items: [CONFIGURATION, targetItem(targetOf('t-1'))] });
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
  harness.advance(3_000, false);
  watch(harness, { era: 2, revision: 23 });
  expect(usedIds(harness)).toEqual(['t-1']);
});

test('a zone that a restored store lacks stays out until that is written again', () => {
  const zoneB = targetItem(targetOf('t-2', { availabilityZone: 'zone-b' }));
  const targets = [targetItem(targetOf('t-1')), zoneB];
  const harness = gateway([...targets, ZONE_OUT]);
  watch(harness, { era: 2, revision: 23 });
  page(harness, { era: 2, revision: 23, items: [CONFIGURATION, ...targets] });
  expect(usedIds(harness)).toEqual(['t-1']);
  harness.advance(1_500, false);
  watch(harness, { era: 2, revision: 24, items: [ZONE_OUT] });
  harness.advance(3_000, false);
  watch(harness, { era: 2, revision: 25 });
  expect(usedIds(harness)).toEqual(['t-1']);
  watch(harness, {
    era: 2,
    revision: 26,
    items: [{ kind: ItemKind.Removed, scope: ItemScope.Zone, id: 'zone-b' }],
  });
  expect(usedIds(harness)).toEqual(['t-1', 't-2']);
});

test('a zone that is not taken out again is back', () => {
  const zoneB = targetItem(targetOf('t-2', { availabilityZone: 'zone-b' }));
  const harness = gateway([zoneB, ZONE_OUT]);
  watch(harness, { era: 2, revision: 23 });
  page(harness, { era: 2, revision: 23, items: [CONFIGURATION, zoneB] });
  harness.advance(3_000, false);
  watch(harness, { era: 2, revision: 23 });
  expect(usedIds(harness)).toEqual(['t-2']);
});

const STARTED = { startedAtMs: 1_000 };

test('a leaving target does not become available again in a restored store', () => {
  const leaving = targetOf('t-2', { ...STARTED, phase: TargetPhase.Leaving });
  const harness = gateway([targetItem(targetOf('t-1')), targetItem(leaving)]);
  watch(harness, { era: 2, revision: 23 });
  const copied = [targetItem(targetOf('t-1')), targetItem(targetOf('t-2', STARTED))];
  page(harness, { era: 2, revision: 23, items: [CONFIGURATION, ...copied] });
  expect(usedIds(harness)).toEqual(['t-1']);
});

test('a leaving target that has started again is available', () => {
  const leaving = targetOf('t-1', { ...STARTED, phase: TargetPhase.Leaving });
  const harness = gateway([targetItem(leaving)]);
  const restarted = targetOf('t-1', { startedAtMs: 9_000 });
  watch(harness, { era: 1, revision: 21, items: [targetItem(restarted)] });
  expect(usedIds(harness)).toEqual(['t-1']);
});

/** What a gateway receives first from a store that was restored. */
const firstAnswers: readonly ((harness: Harness) => void)[] = [
  (harness) => {
    watch(harness, { era: 2, revision: 23 });
  },
  (harness) => {
    harness.post({
      kind: EventKind.StoreFailed,
      read: StoreReadKind.Watch,
      failure: StoreFailure.HistoryExpired,
      era: 2,
      detail: 'status 410',
    });
    harness.advance(400, false);
  },
];

firstAnswers.forEach((receiveFirst, index) => {
  test(`a target that is gone does not come back with a restored store: ${index}`, () => {
    const items = [targetItem(targetOf('t-1')), targetItem(targetOf('t-2', STARTED))];
    const harness = gateway(items);
    const removal: StoreItem = { kind: ItemKind.Removed, scope: ItemScope.Target, id: 't-2' };
    watch(harness, { era: 1, revision: 21, items: [removal] });
    receiveFirst(harness);
    page(harness, { era: 2, revision: 23, items: [CONFIGURATION, ...items] });
    expect(usedIds(harness)).toEqual(['t-1']);
    watch(harness, { era: 2, revision: 24, items: [targetItem(targetOf('t-2', STARTED))] });
    expect(usedIds(harness)).toEqual(['t-1', 't-2']);
  });
});
