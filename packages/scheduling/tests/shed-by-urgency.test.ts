/** @module Admission by urgency while passes are long. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { countMoreUrgent, longPassShareOf } from '../src/index.js';

const LONG_NOW = { sinceLongMs: 0, sinceOwnStartMs: 0 };

// Guards against kinds that are all admitted up to the same passes, so that urgent ones are late.
test('while passes are long, less urgent kinds need shorter ones', () => {
  const shares = [0, 1, 2].map((moreUrgentLevels) =>
    longPassShareOf({ moreUrgentLevels, ...LONG_NOW }),
  );
  expect(shares.map((share) => share.toFixed(2))).toEqual(['0.70', '0.60', '0.50']);
});

// Guards against refusals by rank of kinds that the group can serve.
test('in calm all kinds are admitted alike', () => {
  const share = longPassShareOf({ moreUrgentLevels: 2, sinceLongMs: 2_000, sinceOwnStartMs: 0 });
  expect(share).toEqual(0.7);
});

// Guards against a kind that is never served during a long overload.
test('a kind without a start for a second does not yield', () => {
  const share = longPassShareOf({ moreUrgentLevels: 2, sinceLongMs: 0, sinceOwnStartMs: 1_000 });
  expect(share).toEqual(0.7);
});

// Guards against a less urgent kind that is admitted where a more urgent one is refused.
test('no kind has a larger share than a more urgent one', () => {
  const ageMs = fc.double({ min: 0, noNaN: true });
  fc.assert(
    fc.property(fc.nat(9), ageMs, (moreUrgentLevels, sinceLongMs) => {
      const question = { sinceLongMs, sinceOwnStartMs: 0 };
      const share = longPassShareOf({ moreUrgentLevels, ...question });
      const next = longPassShareOf({ moreUrgentLevels: moreUrgentLevels + 1, ...question });
      expect(next <= share && next > 0).toEqual(true);
    }),
  );
});

// Guards against deployments whose operators ranked nothing and are served differently.
test('one published level ranks nothing', () => {
  expect([countMoreUrgent([1], 5), countMoreUrgent([], 5)]).toEqual([0, 0]);
});

test('levels above the priority count', () => {
  expect([0, 1, 2, 9].map((priority) => countMoreUrgent([2, 0, 1], priority))).toEqual([
    0, 1, 2, 3,
  ]);
});
