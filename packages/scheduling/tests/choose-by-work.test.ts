/** @module Choice of a target by outstanding work. */
import { test } from 'node:test';
import * as fc from 'fast-check';
import { expect } from 'earl';
import {
  chooseByWork,
  type Candidate,
  type PlacementChoice,
  type RequestWork,
} from '../src/index.js';

interface NamedCandidate extends Candidate {
  readonly name: string;
}

const candidateOf = (name: string, changes: Partial<Candidate> = {}): NamedCandidate => ({
  name,
  slots: 7,
  runningCount: 1,
  workTokens: 1_000,
  longCount: 0,
  weight: 1,
  isFull: false,
  isSameZone: true,
  ...changes,
});

const SHORT: RequestWork = { readTokens: 300, writeTokens: 200, isLong: false };

const LONG: RequestWork = { readTokens: 2_800, writeTokens: 200, isLong: true };

const choose = (
  candidates: readonly NamedCandidate[],
  changes: Partial<PlacementChoice<NamedCandidate>> = {},
): string | undefined =>
  chooseByWork({
    candidates,
    work: SHORT,
    usualTokens: 1_000,
    otherGatewayCount: 0,
    random: () => 0.5,
    ...changes,
  })?.name;

// Guards against a short prompt behind a long one because the rank has fewer requests.
test('the target with the least work is chosen, not the one with the fewest requests', () => {
  const busy = candidateOf('a', { runningCount: 1, workTokens: 3_000 });
  const free = candidateOf('b', { runningCount: 3, workTokens: 900 });
  expect(choose([busy, free])).toEqual('b');
});

// Guards against ranks that fill up because late reports show hardly any work there.
test('a target with much fewer taken slots is chosen although it has a little more work', () => {
  const almostFull = candidateOf('a', { runningCount: 6, workTokens: 900 });
  const free = candidateOf('b', { runningCount: 1, workTokens: 1_500 });
  expect(choose([almostFull, free])).toEqual('b');
  expect(choose([almostFull, { ...free, workTokens: 2_500 }])).toEqual('a');
});

// Guards against calls that a target is bound to reject.
test('a target without a free slot is not chosen, however little work it has', () => {
  const full = candidateOf('a', { runningCount: 7, workTokens: 0 });
  expect(choose([full, candidateOf('b', { workTokens: 20_000 })])).toEqual('b');
  expect(choose([full])).toEqual(undefined);
});

// Guards against a second rejection by the target that has just rejected the first request.
test('a target that has just rejected a request for being full counts as full', () => {
  expect(choose([candidateOf('a', { isFull: true, workTokens: 0 }), candidateOf('b')])).toEqual(
    'b',
  );
});

// Guards against long prompts that one rank reads one after the other while another reads none.
test('a long prompt goes to a target without one, else to the least loaded', () => {
  const taken = candidateOf('a', { longCount: 1, workTokens: 100 });
  const other = candidateOf('b', { workTokens: 4_000 });
  expect(choose([taken, other], { work: LONG })).toEqual('b');
  expect(choose([taken, { ...other, longCount: 1 }], { work: LONG })).toEqual('a');
  expect(choose([taken, { ...other, runningCount: 7 }], { work: LONG })).toEqual('a');
});

// Guards against a grey target that looks idle because its calls fail.
test('a target carries less work in proportion to its weight', () => {
  const grey = candidateOf('a', { weight: 0.25, workTokens: 0 });
  expect(choose([grey, candidateOf('b', { workTokens: 1_000 })])).toEqual('b');
  expect(choose([grey, candidateOf('b', { workTokens: 4_000 })])).toEqual('a');
});

// Guards against traffic between zones that gains nothing.
test('the own zone is chosen among equal targets, and only among these', () => {
  const far = candidateOf('a', { isSameZone: false });
  expect(choose([far, candidateOf('b')])).toEqual('b');
  expect(choose([far, candidateOf('b', { workTokens: 1_200 })])).toEqual('a');
});

// Guards against services without published sizes that are placed differently from before.
test('requests of unknown work are counted', () => {
  const counts = { work: undefined, usualTokens: 1 };
  const targets = [candidateOf('a', { workTokens: 3 }), candidateOf('b', { workTokens: 2 })];
  expect(choose(targets, counts)).toEqual('b');
});

const createRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
};

/** Mean number of targets that 21 gateways with the same knowledge choose. */
const spreadOf21 = (otherGatewayCount: number): number => {
  const targets = Array.from({ length: 72 }, (_, index) =>
    candidateOf(`t-${index}`, { workTokens: 500 + index * 200 }),
  );
  const random = createRandom(7);
  const counts = Array.from(
    { length: 50 },
    () =>
      new Set(Array.from({ length: 21 }, () => choose(targets, { otherGatewayCount, random })))
        .size,
  );
  return counts.reduce((sum, count) => sum + count, 0) / counts.length;
};

// Guards against gateways that take the same slot, as a tenth of the requests did.
test('gateways with the same knowledge choose different targets, one that is alone the best', () => {
  expect(spreadOf21(20) >= 15).toEqual(true);
  expect(spreadOf21(0)).toEqual(1);
});

const anyCandidate = fc.record({
  name: fc.string(),
  slots: fc.integer({ min: 0, max: 8 }),
  runningCount: fc.integer({ min: 0, max: 10 }),
  workTokens: fc.integer({ min: 0, max: 100_000 }),
  longCount: fc.integer({ min: 0, max: 2 }),
  weight: fc.double({ min: 0.05, max: 1, noNaN: true }),
  isFull: fc.boolean(),
  isSameZone: fc.boolean(),
});

const anyChoice = fc.record({
  candidates: fc.array(anyCandidate),
  work: fc.constantFrom(SHORT, LONG, undefined),
  usualTokens: fc.integer({ min: 1, max: 5_000 }),
  otherGatewayCount: fc.integer({ min: 0, max: 400 }),
  random: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }).map((value) => () => value),
});

const hasRoom = ({ runningCount, slots, isFull }: Candidate): boolean =>
  runningCount < slots && !isFull;

// Guards against refusals while there is room, and against calls to full targets.
test('a target with room is chosen exactly when there is one', () => {
  fc.assert(
    fc.property(anyChoice, (choice) => {
      const chosen = chooseByWork(choice);
      expect(chosen !== undefined).toEqual(choice.candidates.some(hasRoom));
      expect(chosen === undefined || hasRoom(chosen)).toEqual(true);
    }),
  );
});

// Guards against exceptions to the rule on long prompts by weights, zones or random costs.
test('two long prompts share a target only if all others with room have one', () => {
  fc.assert(
    fc.property(anyChoice, (choice) => {
      const chosen = chooseByWork({ ...choice, work: LONG });
      const isWithout = choice.candidates.some(
        (candidate) => hasRoom(candidate) && candidate.longCount === 0,
      );
      expect(!isWithout || chosen?.longCount === 0).toEqual(true);
    }),
  );
});
