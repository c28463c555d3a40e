import { test } from 'node:test';
import { expect } from 'earl';
import {
  KNOWN_BAD,
  KnownBad,
  RequestKind,
  nameOfFaultCase,
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
    .map(({ faultCase, violations }) => `${nameOfFaultCase(faultCase)}: ${violations.join(', ')}`);

const isDetected = ({ variant, kinds, violates }: KnownBadVariant): boolean =>
  singleCases(SEED)
    .filter(({ kind }) => kinds.includes(kind))
    .some((faultCase) => runCase(faultCase, variant).violations.includes(violates));

Object.values(RequestKind).forEach((kind) => {
  test(`single faults violate no invariant: ${kind}`, () => {
    const cases = singleCases(SEED).filter((faultCase) => faultCase.kind === kind);
    expect(failuresOf(cases)).toEqual([]);
  });
});

test('every planned fault is injected', () => {
  const notInjected = singleCases(SEED).filter((faultCase) => !runCase(faultCase, {}).hasStruck);
  expect(notInjected.map(nameOfFaultCase)).toEqual([]);
});

test('pairs of faults violate no invariant', () => {
  expect(failuresOf(pairCases(SEED, PAIR_COUNT))).toEqual([]);
});

Object.values(KnownBad).forEach((name) => {
  test(`matrix detects ${name}`, () => {
    expect(isDetected(KNOWN_BAD[name])).toEqual(true);
  });
});
