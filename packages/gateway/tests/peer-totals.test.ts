/** @module Sums of reported counts, against sums over all reports. */
import { test } from 'node:test';
import * as fc from 'fast-check';
import { expect } from 'earl';
import PeerTotals from '../src/PeerTotals.js';

const EXPIRY_MS = 1_500;

const TARGETS = ['t-1', 't-2', 't-3'];

const PEERS = ['10.0.0.1:7000', '10.0.0.2:7000'];

const countOf = fc.record({
  instanceId: fc.constantFrom(...TARGETS),
  count: fc.integer({ min: 0, max: 9 }),
});

const reportOf = fc.record({
  address: fc.constantFrom(...PEERS),
  isWhole: fc.boolean(),
  counts: fc.uniqueArray(countOf, { minLength: 1, selector: ({ instanceId }) => instanceId }),
  delayMs: fc.integer({ min: 0, max: 1_000 }),
});

interface Peer {
  counts: Map<string, number>;
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
        const known = peers.get(address)?.counts ?? new Map<string, number>();
        const applied = isWhole ? counts : counts.slice(0, 1);
        const next = new Map(isWhole ? [] : known);
        applied.forEach(({ instanceId, count }) => next.set(instanceId, count));
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
        const expected = TARGETS.map((instanceId) =>
          live.reduce((sum, peer) => sum + (peer.counts.get(instanceId) ?? 0), 0),
        );
        expect(TARGETS.map((instanceId) => totals.countAt(instanceId))).toEqual(expected);
      });
    }),
  );
});
