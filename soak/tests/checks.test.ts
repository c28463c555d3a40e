/** @module Each promise check reports records that break it, and no others. */
import { test } from 'node:test';
import { EVENTS_PER_STREAM, RoutePath, type RecordedRun } from '@ebonysill/platform/stand-ins';
import { createRandom } from '@ebonysill/emulator';
import { expect } from 'earl';
import { checkPromises, type Attempt, type SoakRecord } from '../src/check-promises.js';
import { SoakFaultKind, drawFaults } from '../src/fault-plan.js';

const attemptOf = (changes: Partial<Attempt> = {}): Attempt => ({
  attemptId: 'a-1',
  path: RoutePath.NonIdempotent,
  credential: 'key-1',
  sentAtMs: 0,
  status: 200,
  isSigned: true,
  isComplete: true,
  body: 'answer to a-1',
  ...changes,
});

const runOf = (changes: Partial<RecordedRun> = {}): RecordedRun => ({
  attemptId: 'a-1',
  instanceId: 'i-1',
  path: `${RoutePath.NonIdempotent}a-1`,
  organisation: 'org-key-1',
  hasCredential: false,
  atMs: 0,
  ...changes,
});

const findBrokenPromises = (record: Partial<SoakRecord>): readonly string[] =>
  checkPromises({
    attempts: [attemptOf()],
    runs: [runOf()],
    revocations: [],
    limits: [],
    ...record,
  }).map(({ promise }) => promise);

const streamBody = (count: number): string =>
  Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: a-1/${index + 1}\n\n`).join(
    '',
  );

const streamOf = (changes: Partial<Attempt>): Partial<SoakRecord> => ({
  attempts: [attemptOf({ path: RoutePath.Stream, ...changes })],
  runs: [runOf({ path: `${RoutePath.Stream}a-1` })],
});

test('a record that keeps all promises passes', () => {
  expect(findBrokenPromises({})).toEqual([]);
  expect(findBrokenPromises(streamOf({ body: streamBody(EVENTS_PER_STREAM) }))).toEqual([]);
  expect(
    findBrokenPromises(streamOf({ body: `${streamBody(3)}id: 4\nda`, isComplete: false })),
  ).toEqual([]);
});

test('reports a non-idempotent call that ran twice', () => {
  expect(findBrokenPromises({ runs: [runOf(), runOf({ instanceId: 'i-2' })] }).length).toEqual(1);
});

test('reports a call that ran although refused as not run', () => {
  expect(findBrokenPromises({ attempts: [attemptOf({ status: 503 })] }).length).toEqual(1);
});

test('reports truncated, mixed-up and unsigned answers', () => {
  expect(findBrokenPromises({ attempts: [attemptOf({ body: 'answer to' })] }).length).toEqual(1);
  expect(findBrokenPromises({ attempts: [attemptOf({ body: 'answer to a-2' })] }).length).toEqual(
    1,
  );
  expect(findBrokenPromises({ attempts: [attemptOf({ isSigned: false })] }).length).toEqual(1);
});

test('reports short, repeated and mixed-up streams', () => {
  expect(findBrokenPromises(streamOf({ body: streamBody(5) })).length).toEqual(1);
  expect(findBrokenPromises(streamOf({ body: `${streamBody(2)}${streamBody(8)}` })).length).toEqual(
    1,
  );
  expect(
    findBrokenPromises(streamOf({ body: streamBody(8).replaceAll('a-1', 'a-2') })).length,
  ).toEqual(1);
});

test('reports extra runs, wrong organisations, forwarded credentials', () => {
  expect(findBrokenPromises({ runs: [runOf(), runOf({ attemptId: 'a-9' })] }).length).toEqual(1);
  expect(findBrokenPromises({ runs: [runOf({ organisation: 'org-key-2' })] }).length).toEqual(1);
  expect(findBrokenPromises({ runs: [runOf({ hasCredential: true })] }).length).toEqual(1);
});

test('reports a run more than 5 s after credential revocation', () => {
  const revocations = [{ credential: 'key-1', atMs: 0 }];
  expect(
    findBrokenPromises({ revocations, attempts: [attemptOf({ sentAtMs: 5_001 })] }).length,
  ).toEqual(1);
  expect(findBrokenPromises({ revocations, attempts: [attemptOf({ sentAtMs: 4_999 })] })).toEqual(
    [],
  );
});

test('the same seed draws the same faults, of most kinds', () => {
  const faults = drawFaults(createRandom(3), 60_000);
  expect(drawFaults(createRandom(3), 60_000)).toEqual(faults);
  expect(new Set(faults.map(({ kind }) => kind)).size > 10).toEqual(true);
  expect(Object.values(SoakFaultKind).length).toEqual(19);
});

test('reports a target that got more than its limit', () => {
  const limits = [{ instanceId: 'i-1', maxRequestsPerSecond: 1, fromMs: 0, toMs: 9_000 }];
  const record = (count: number): Partial<SoakRecord> => ({
    attempts: Array.from({ length: count }, (_, index) => attemptOf({ attemptId: `a-${index}` })),
    runs: Array.from({ length: count }, (_, index) =>
      runOf({ attemptId: `a-${index}`, atMs: 3_500 + index * 100 }),
    ),
    limits,
  });
  const promise = 'a target gets no more than its limit';
  expect(findBrokenPromises(record(11)).includes(promise)).toEqual(false);
  expect(findBrokenPromises(record(12)).includes(promise)).toEqual(true);
});
