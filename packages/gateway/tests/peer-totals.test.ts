/** @module Sums of reported counts and work, against sums over all reports. */
import { test } from 'node:test';
import * as fc from 'fast-check';
import { expect } from 'earl';
import type { TargetCount } from '../src/index.js';
import PeerTotals from '../src/PeerTotals.js';

const EXPIRY_MS = 1_500;

const TARGETS = ['t-1', 't-2', 't-3'];

const PEERS = ['10.0.0.1:7000', '10.0.0.2:7000'];

const USUAL_TOKENS = 1_000;

const countOf = fc
  .record({
    instanceId: fc.constantFrom(...TARGETS),
    count: fc.integer({ min: 0, max: 9 }),
    workTokens: fc.option(fc.integer({ min: 0, max: 30_000 }), { nil: undefined }),
    longCount: fc.option(fc.integer({ min: 0, max: 3 }), { nil: undefined }),
  })
  .map(({ instanceId, count, workTokens, longCount }): TargetCount => ({
    instanceId,
    count,
    ...(workTokens === undefined ? {} : { workTokens }),
    ...(longCount === undefined ? {} : { longCount }),
  }));

const reportOf = fc.record({
  address: fc.constantFrom(...PEERS),
  isWhole: fc.boolean(),
  counts: fc.uniqueArray(countOf, { minLength: 1, selector: ({ instanceId }) => instanceId }),
  delayMs: fc.integer({ min: 0, max: 1_000 }),
});

interface Peer {
  counts: Map<string, TargetCount>;
  atMs: number;
}

test('sums equal those over all unexpired reports', () => {
  fc.assert(
    fc.property(fc.array(reportOf), (reports) => {
      let nowMs = 0;
      const totals = PeerTotals.create(() => nowMs, EXPIRY_MS);
      const peers = new Map<string, Peer>();
      reports.forEach(({ address, isWhole, counts, delayMs }) => {
        nowMs += delayMs;
        const known = peers.get(address)?.counts ?? new Map<string, TargetCount>();
        const applied = isWhole ? counts : counts.slice(0, 1);
        const next = new Map(isWhole ? [] : known);
        applied.forEach((count) => next.set(count.instanceId, count));
        peers.set(address, { counts: next, atMs: nowMs });
        if (isWhole) {
          totals.replace(address, counts);
        } else {
          applied.forEach((count) => totals.change(address, count));
        }
        const live = [...peers.values()].filter(({ atMs }) => atMs + EXPIRY_MS > nowMs);
        [...peers].forEach(([key, { atMs }]) => {
          if (atMs + EXPIRY_MS <= nowMs) {
            peers.delete(key);
          }
        });
        const sumOf = (instanceId: string, partOf: (load: TargetCount) => number): number =>
          live.reduce((sum, { counts: loads }) => {
            const load = loads.get(instanceId);
            return sum + (load === undefined ? 0 : partOf(load));
          }, 0);
        TARGETS.forEach((instanceId) => {
          expect(totals.countAt(instanceId)).toEqual(sumOf(instanceId, ({ count }) => count));
          expect(totals.longCountAt(instanceId)).toEqual(
            sumOf(instanceId, ({ longCount = 0 }) => longCount),
          );
          expect(totals.workTokensAt(instanceId, USUAL_TOKENS)).toEqual(
            sumOf(instanceId, ({ count, workTokens = count * USUAL_TOKENS }) => workTokens),
          );
        });
      });
    }),
  );
});
