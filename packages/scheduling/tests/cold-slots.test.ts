/** @module Turns of gateways at a cold target that takes fewer requests than there are gateways. */
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { coldSlotOf, ownsColdSlot } from '../src/index.js';

// Guards against a cold target that gets a request from every gateway in the same second.
test('a second has no more turns than the target takes, and one that has begun', () => {
  const gatewayCounts = fc.integer({ min: 1, max: 400 });
  const ends = fc.integer({ min: 1_000, max: 60_000 });
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 40 }), gatewayCounts, ends, (perSecond, count, endMs) => {
      const slots = Array.from({ length: 1_000 }, (_, ageMs) =>
        coldSlotOf({ coldMsLeft: endMs - ageMs, perSecond }),
      );
      expect(new Set(slots).size).toBeLessThan(perSecond + 2);
      const coldMsLeft = endMs;
      const owners = Array.from({ length: count }, (_, gatewayIndex) => gatewayIndex).filter(
        (gatewayIndex) =>
          ownsColdSlot({ coldMsLeft, perSecond, gatewayIndex, gatewayCount: count }),
      );
      expect(owners.length).toEqual(1);
    }),
  );
});
