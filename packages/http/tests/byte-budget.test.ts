/** @module What is kept for clients stays within its budget; the clock is moved by the test. */
import { test } from 'node:test';
import { expect } from 'earl';
import { ByteBudget, CHECK_INTERVAL_MS, DropCause, type Holding } from '../src/index.js';

const STALL_TIMEOUT_MS = 10_000;

interface Bench {
  readonly budget: ByteBudget;
  readonly dropped: readonly string[];
  readonly open: (name: string, sizeBytes: number) => Holding;
  /** Moves the clock and checks the budget at its interval. */
  readonly pass: (durationMs: number) => void;
  /** Moves the clock at once, like a suspension of the process. */
  readonly suspend: (durationMs: number) => void;
}

const createBench = (maxBytes: number): Bench => {
  let nowMs = 0;
  const dropped: string[] = [];
  const budget = ByteBudget.create({ maxBytes, nowMs: () => nowMs });
  return {
    budget,
    dropped,
    open: (name, sizeBytes) => {
      const holding = budget.open({
        stallTimeoutMs: STALL_TIMEOUT_MS,
        stallCause: DropCause.BodyStalled,
        drop: (cause) => dropped.push(`${name} ${cause}`),
      });
      holding.setSize(sizeBytes);
      return holding;
    },
    pass: (durationMs) => {
      Array.from({ length: durationMs / CHECK_INTERVAL_MS }, () => {
        nowMs += CHECK_INTERVAL_MS;
        budget.check();
        return nowMs;
      });
    },
    suspend: (durationMs) => {
      nowMs += durationMs;
    },
  };
};

// Without an order, ordinary uploads would go while stopped ones stay.
test('the holding without progress for longest is dropped first', () => {
  const { dropped, open, pass } = createBench(3_200);
  const first = open('first', 1_000);
  open('second', 1_000);
  pass(1_000);
  first.recordProgress();
  pass(1_000);
  open('third', 1_000);
  expect(dropped).toEqual([]);
  open('fourth', 1_000);
  expect(dropped).toEqual([`second ${DropCause.NoRoom}`]);
});

// A request that runs cannot be refused any more.
test('what is kept is not dropped, and counts', () => {
  const { budget, dropped, open } = createBench(3_200);
  open('first', 3_000).keep();
  expect([budget.hasRoomFor(200), budget.hasRoomFor(201)]).toEqual([true, false]);
  open('second', 1_000);
  expect(dropped).toEqual([`second ${DropCause.NoRoom}`]);
  expect(budget.usedBytes).toEqual(3_000);
});

// A body that stops would be kept for ever.
test('a holding without progress ends at its time', () => {
  const { dropped, open, pass } = createBench(3_200);
  open('first', 1_000);
  pass(STALL_TIMEOUT_MS);
  expect(dropped).toEqual([]);
  pass(CHECK_INTERVAL_MS);
  expect(dropped).toEqual([`first ${DropCause.BodyStalled}`]);
});

// A suspended process would drop every upload when it continues.
test('a suspension counts for a second at most', () => {
  const { dropped, open, pass, suspend } = createBench(3_200);
  open('first', 1_000);
  suspend(60_000);
  pass(STALL_TIMEOUT_MS - 1_000);
  expect(dropped).toEqual([]);
});

// A count that is not reduced would refuse everybody after a while.
test('released holdings leave nothing behind', () => {
  const { budget, open } = createBench(3_200);
  const kept = open('first', 1_000);
  kept.keep();
  kept.release();
  kept.release();
  open('second', 1_000).release();
  expect([budget.usedBytes, budget.hasRoomFor(3_200)]).toEqual([0, true]);
});
