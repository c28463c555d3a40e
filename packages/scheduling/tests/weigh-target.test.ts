/** @module Load that targets carry by their results. */
import { test } from 'node:test';
import * as fc from 'fast-check';
import { expect } from 'earl';
import { weighTarget } from '../src/index.js';

// Guards against a target that is never measured because it is new.
test('a target without results carries the usual load', () => {
  expect(weighTarget({ callCount: 0, failureCount: 0, latencyRatio: 1 })).toEqual(1);
});

// Guards against a grey target that keeps its load because nine of ten calls succeed.
test('a tenth of failed calls takes a quarter of the load away', () => {
  expect(weighTarget({ callCount: 40, failureCount: 4, latencyRatio: 1 }) < 0.75).toEqual(true);
});

// Guards against a grey target that keeps its load because it answers at all.
test('eight times the usual latency leaves a quarter of the load', () => {
  expect(weighTarget({ callCount: 40, failureCount: 0, latencyRatio: 8 })).toEqual(0.25);
});

// Guards against targets that lose load because their prompts happen to be long.
test('latencies up to twice the median change nothing', () => {
  expect(weighTarget({ callCount: 40, failureCount: 0, latencyRatio: 2 })).toEqual(1);
});

// Guards against division by zero, and against a target that is never tried again.
test('weights stay within their bounds', () => {
  const counts = fc.double({ min: 0, max: 1e6, noNaN: true });
  fc.assert(
    fc.property(
      counts,
      counts,
      fc.double({ min: 1, noNaN: true }),
      (callCount, failures, ratio) => {
        const failureCount = Math.min(failures, callCount);
        const weight = weighTarget({ callCount, failureCount, latencyRatio: ratio });
        expect(weight >= 0.05 && weight <= 1).toEqual(true);
      },
    ),
  );
});
