import { test } from 'node:test';
import { initialMap, planMap, skewOf } from '@ebonysill/experts';
import { expect } from 'earl';
import fc from 'fast-check';
import { mapCases, nameOfMapCase, runMapCase, type MapRules } from '../src/index.js';

const SEED = 1;

const failuresOf = (rules: MapRules): readonly string[] =>
  mapCases(SEED)
    .map((mapCase) => ({ mapCase, ...runMapCase(mapCase, rules) }))
    .filter(({ violations, wasInjected }) => violations.length > 0 || !wasInjected)
    .map(({ mapCase, violations }) => `${nameOfMapCase(mapCase)}: ${violations.join(', ')}`);

const isDetected = (rules: MapRules): boolean =>
  mapCases(SEED).some((mapCase) => runMapCase(mapCase, rules).violations.length > 0);

test('map faults are all injected and violate no invariant', () => {
  expect(failuresOf({})).toEqual([]);
});

test('detects a group that does not hold steps', () => {
  expect(isDetected({ mustHold: () => false })).toEqual(true);
});

test('detects a missing wait after a restart', () => {
  expect(isDetected({ waitsAfterRestart: false })).toEqual(true);
});

test('detects a map change decided by majority', () => {
  expect(isDetected({ hasQuorum: (answered, all) => answered > all / 2 })).toEqual(true);
});

const PLAN = { rankCount: 4, slotsPerRank: 4, skewThreshold: 1.1, maxMovesPerLayer: 8 };

const counts = fc.array(fc.nat(1_000), { minLength: 8, maxLength: 8 });

test('a plan always lowers the skew', () => {
  fc.assert(
    fc.property(counts, (layer) => {
      const current = initialMap({ rankCount: 4, layerCount: 1, expertCount: 8 });
      const next = planMap(current, [layer], PLAN);
      if (next !== undefined) {
        expect(skewOf(next, [layer], 4) < skewOf(current, [layer], 4)).toEqual(true);
      }
    }),
    { seed: 12, numRuns: 300 },
  );
});

test('a plan places every expert within the slots', () => {
  fc.assert(
    fc.property(counts, (layer) => {
      const next = planMap(
        initialMap({ rankCount: 4, layerCount: 1, expertCount: 8 }),
        [layer],
        PLAN,
      );
      (next?.layers[0] ?? []).forEach((ranks) => {
        expect(ranks.length > 0).toEqual(true);
        expect(new Set(ranks).size).toEqual(ranks.length);
      });
      const used = Array.from(
        { length: 4 },
        (_, rank) => (next?.layers[0] ?? []).filter((ranks) => ranks.includes(rank)).length,
      );
      expect(Math.max(...used) <= PLAN.slotsPerRank).toEqual(true);
    }),
    { seed: 13, numRuns: 300 },
  );
});

test('no plan for a balanced map', () => {
  const current = initialMap({ rankCount: 4, layerCount: 1, expertCount: 8 });
  expect(planMap(current, [Array.from({ length: 8 }, () => 5)], PLAN)).toEqual(undefined);
});
