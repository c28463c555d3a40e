/** @module Messages as other versions of a gateway send them. */
import { test } from 'node:test';
import { PeerMessageKind } from '@ebonysill/gateway';
import { expect } from 'earl';
import parsePeerMessage from '../src/parsePeerMessage.js';

test('a crash report of an earlier version has no segments', () => {
  const kind = PeerMessageKind.CrashReport;
  expect(parsePeerMessage({ kind, fingerprint: '1-2-3', instanceId: 'i-1' })).toEqual({
    kind,
    fingerprint: '1-2-3',
    instanceId: 'i-1',
    segments: [],
    answers: [],
  });
});

test('a message about suspects keeps its crashes', () => {
  const message = {
    kind: PeerMessageKind.Suspects as const,
    crashes: [{ instanceId: 'i-1', ageMs: 40, fingerprint: '1-2-3', segments: ['assistant/5c'] }],
    answers: [{ segment: 'assistant/5c', ageMs: 100 }],
  };
  expect(parsePeerMessage(message)).toEqual(message);
});

test('a message about suspects without ages is dropped', () => {
  const crashes = [{ instanceId: 'i-1', fingerprint: '1-2-3', segments: [] }];
  const message = { kind: PeerMessageKind.Suspects, crashes, answers: [] };
  expect(parsePeerMessage(message)).toEqual(undefined);
});

// Guards against mixed versions: load messages that are dropped leave targets overcommitted.
test('a load message of an earlier version has no passes and no age', () => {
  const kind = PeerMessageKind.Load;
  expect(parsePeerMessage({ kind, counts: [] })).toEqual({ kind, counts: [], passes: [] });
});

// Guards against a fleet that counts nothing of its older gateways while it is updated.
test('a load of an earlier version has no work', () => {
  const message = { kind: PeerMessageKind.LoadChange as const, instanceId: 'i-1', count: 2 };
  expect(parsePeerMessage(message)).toEqual(message);
});

// Guards against work that is dropped on receipt.
test('a load keeps its work', () => {
  const message = {
    kind: PeerMessageKind.Load as const,
    counts: [{ instanceId: 'i-1', count: 2, workTokens: 1_900, longCount: 1 }],
    passes: [],
  };
  expect(parsePeerMessage(message)).toEqual(message);
});

// Guards against sums that no later message repairs.
test('a load whose work is no whole number is dropped', () => {
  [-1, 0.5, NaN, Infinity, '3'].forEach((workTokens) => {
    const message = { kind: PeerMessageKind.LoadChange, instanceId: 'i-1', count: 2, workTokens };
    expect(parsePeerMessage(message)).toEqual(undefined);
  });
});

// Guards against announced ends that are dropped on receipt.
test('a changed load keeps the ends announced with it', () => {
  const message = {
    kind: PeerMessageKind.LoadChange as const,
    instanceId: 'i-1',
    count: 2,
    ended: [{ instanceId: 'i-2', count: 0, workTokens: 0 }],
  };
  expect(parsePeerMessage(message)).toEqual(message);
});
