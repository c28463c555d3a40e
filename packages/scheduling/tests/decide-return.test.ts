/** @module When refused callers come back: a cause of one gateway, and one of the whole fleet. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { RefusalScope, decideReturnMs, decideScope } from '../src/index.js';

const MAX_AGE_MS = 4_000;

const scopeOf = (agesMs: readonly number[], hasOthers = true): RefusalScope =>
  decideScope({ hasOthers, agesMs, maxAgeMs: MAX_AGE_MS });

const delaysMs = (scope: RefusalScope, counts: readonly number[]): readonly number[] =>
  counts.map((refusalCount) =>
    decideReturnMs({ scope, fleetDelayMs: 2_000, refusalCount, random: 0.5 }),
  );

// Guards against callers that wait 2 s for a gateway although the next one would serve them.
test('fresh copies elsewhere make a cause local', () => {
  expect(scopeOf([100, 3_000])).toEqual(RefusalScope.Gateway);
});

// Guards against callers that spend their only retry while the whole fleet has lost the store.
test('old copies elsewhere make a cause shared', () => {
  expect(scopeOf([4_500, 5_000])).toEqual(RefusalScope.Fleet);
});

// Guards against callers sent to a copy that is too old by the time they arrive.
test('a copy that ages out on the way is not fresh', () => {
  expect(scopeOf([3_950])).toEqual(RefusalScope.Fleet);
});

test('one fresh copy among many does not make a cause local', () => {
  expect(scopeOf([100, 5_000, 5_000, 5_000])).toEqual(RefusalScope.Fleet);
  expect(scopeOf([100, 5_000, 5_000])).toEqual(RefusalScope.Gateway);
});

test('without reports a gateway that knew others takes the cause for its own', () => {
  expect(scopeOf([])).toEqual(RefusalScope.Gateway);
});

// Guards against a deployment of one gateway whose callers would spend their only retry at once.
test('a gateway alone is the fleet', () => {
  expect(scopeOf([], false)).toEqual(RefusalScope.Fleet);
});

test('each refusal doubles the delay up to that of the fleet', () => {
  const counts = [0, 1, 2, 5, 6, 1_000];
  expect(delaysMs(RefusalScope.Gateway, counts)).toEqual([40, 80, 160, 1_280, 2_000, 2_000]);
});

test('refusals do not lengthen the delay of the fleet', () => {
  expect(delaysMs(RefusalScope.Fleet, [0, 4])).toEqual([2_000, 2_000]);
});

// Guards against delays beyond what a caller waits, and against all callers returning at once.
test('delays of a local cause are spread and stay between 20 ms and that of the fleet', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 2_000 }),
      fc.nat(20),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (fleetDelayMs, refusalCount, random) => {
        const scope = RefusalScope.Gateway;
        const delayMs = decideReturnMs({ scope, fleetDelayMs, refusalCount, random });
        expect(delayMs <= fleetDelayMs).toEqual(true);
        expect(delayMs >= Math.min(20, fleetDelayMs)).toEqual(true);
        expect(refusalCount > 0 || delayMs <= 60).toEqual(true);
      },
    ),
  );
});
