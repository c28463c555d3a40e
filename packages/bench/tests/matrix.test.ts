import { test } from 'node:test';
import { expect } from 'earl';
import {
  KNOWN_BAD,
  KnownBad,
  RequestKind,
  nameOf,
  pairCases,
  runCase,
  singleCases,
  type FaultCase,
  type KnownBadVariant,
} from '../src/index.js';

const SEED = 1;

const PAIR_COUNT = 700;

const failuresOf = (cases: readonly FaultCase[]): readonly string[] =>
  cases
    .map((faultCase) => runCase(faultCase, {}))
    .filter(({ violations }) => violations.length > 0)
    .map(({ faultCase, violations }) => `${nameOf(faultCase)}: ${violations.join(', ')}`);

const isCaught = ({ variant, kinds, breaks }: KnownBadVariant): boolean =>
  singleCases(SEED)
    .filter(({ kind }) => kinds.includes(kind))
    .some((faultCase) => runCase(faultCase, variant).violations.includes(breaks));

Object.values(RequestKind).forEach((kind) => {
  test(`single faults, ${kind}`, () => {
    const cases = singleCases(SEED).filter((faultCase) => faultCase.kind === kind);
    expect(failuresOf(cases)).toEqual([]);
  });
});

test('faults strike', () => {
  const idle = singleCases(SEED).filter((faultCase) => !runCase(faultCase, {}).hasStruck);
  expect(idle.map(nameOf)).toEqual([]);
});

test('pairs of faults', () => {
  expect(failuresOf(pairCases(SEED, PAIR_COUNT))).toEqual([]);
});

Object.values(KnownBad).forEach((name) => {
  test(`catches ${name}`, () => {
    expect(isCaught(KNOWN_BAD[name])).toEqual(true);
  });
});
