/** @module Messages as other versions of a gateway send them. */
import { test } from 'node:test';
import { PeerMessageKind } from '@ebonysill/gateway';
import { expect } from 'earl';
import { pack, unpack } from 'msgpackr';
import encodePeerMessage from '../src/encodePeerMessage.js';
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

// Guards against state that a starting gateway asks for and that is lost on receipt.
test('the state for a starting gateway is kept', () => {
  const message = {
    kind: PeerMessageKind.StartState as const,
    isStarting: false,
    version: 9,
    era: 2,
    spentRetries: [{ serviceName: 'plain', count: 3 }],
    coldStarts: [{ instanceId: 'i-1', count: 2 }],
  };
  expect(parsePeerMessage(message)).toEqual(message);
  expect(parsePeerMessage({ kind: PeerMessageKind.QueryStartState })).toEqual({
    kind: PeerMessageKind.QueryStartState,
  });
});

// Guards against a floor that no configuration can reach.
test('a state whose version is no whole number is dropped', () => {
  const state = { isStarting: false, spentRetries: [], coldStarts: [] };
  [-1, 0.5, NaN, Infinity, 1e300, '9'].forEach((version) => {
    const message = { kind: PeerMessageKind.StartState, version, ...state };
    expect(parsePeerMessage(message)).toEqual(undefined);
  });
});

// Guards against mixed versions: notices and reports that are dropped during an update.
test('notices and reports of an earlier version have no pauses and no age', () => {
  const notices = { kind: PeerMessageKind.TargetNotices as const, limits: [], leaving: [] };
  expect(parsePeerMessage(notices)).toEqual({ ...notices, pauses: [] });
  const report = {
    groupName: 'group-1',
    epoch: 1,
    rank: 0,
    rankCount: 2,
    isOpen: true,
    step: 10,
    mapVersion: 0,
    preparedVersion: 0,
    armedVersion: 0,
    heldStep: 0,
    runningCount: 0,
    waitingCount: 0,
    pace: 1,
  };
  const state = { kind: PeerMessageKind.RankState as const, report, engineAddress: '10.0.0.1:80' };
  expect(parsePeerMessage(state)).toEqual({ ...state, ageMs: 0 });
});

// Guards against loads that change on their way, or that fill the links between hosts.
test('loads arrive as they were sent, in half the bytes', () => {
  const counts = Array.from({ length: 24 }, (_, index) => ({
    instanceId: `i-${index}`,
    count: 2,
    ...(index % 3 === 0 ? {} : { workTokens: 1_900 }),
    ...(index % 2 === 0 ? {} : { longCount: 1 }),
  }));
  const load = { kind: PeerMessageKind.Load as const, counts, passes: [] };
  const change = { kind: PeerMessageKind.LoadChange as const, instanceId: 'i', count: 1 };
  [load, { ...change, ended: counts }, change].forEach((message) => {
    expect<unknown>(parsePeerMessage(unpack(pack(encodePeerMessage(message))))).toEqual(message);
  });
  expect(pack(encodePeerMessage(load)).length * 2 < pack(load).length).toEqual(true);
});
