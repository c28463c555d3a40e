/** @module What is given up when a budget is used up. */
import { test } from 'node:test';
import { expect } from 'earl';
import { EvictionTier, decideEvictions, type Evictable } from '../src/index.js';

const evictable = (
  id: number,
  progressAtMs: number,
  cost = 100,
  tier = EvictionTier.Unfinished,
): Evictable => ({ id, tier, cost, progressAtMs });

test('nothing goes while the budget holds', () => {
  expect(decideEvictions([evictable(1, 0)], { used: 320, max: 320 })).toEqual([]);
});

test('the longest without progress goes first, and no more than needed', () => {
  const open = [evictable(1, 30), evictable(2, 10), evictable(3, 20)];
  expect(decideEvictions(open, { used: 321, max: 320 })).toEqual([2]);
});

test('idle connections go after unfinished ones', () => {
  const open = [evictable(1, 0, 100, EvictionTier.Idle), evictable(2, 50)];
  expect(decideEvictions(open, { used: 321, max: 320 })).toEqual([2]);
});

test('of two without progress for equally long the larger one goes', () => {
  expect(
    decideEvictions([evictable(1, 0, 10), evictable(2, 0, 200)], { used: 321, max: 320 }),
  ).toEqual([2]);
});

test('what costs nothing stays', () => {
  expect(decideEvictions([evictable(1, 0, 0), evictable(2, 5)], { used: 321, max: 320 })).toEqual([
    2,
  ]);
});
