import { test } from 'node:test';
import {
  KeyState,
  KeyVerdict,
  Outcome,
  Reason,
  notRun,
  type KeyDecision,
  type KeyLedgerApi,
} from '@ebonysill/core';
import { expect } from 'earl';
import fc from 'fast-check';
import { keyLedgerRegistration, type KeyLedgerLimits } from '../src/key-ledger-service.js';

const LARGE_LIMITS: KeyLedgerLimits = { maxKeyCount: 1_000, maxAnswerBytes: 100_000 };

const VOIDED = notRun(Reason.KeySpent, 'voided');

const createLedger = (limits: KeyLedgerLimits, incarnation = 'first'): KeyLedgerApi =>
  keyLedgerRegistration({
    runtime: { nowMs: () => 0, random: () => 0 },
    issuer: { targetId: 'enrolment-1', incarnation, secret: `secret of ${incarnation}` },
    limits,
  }).create(() => {
    throw new Error('the ledger requires no service');
  }).api;

const mintKey = (ledger: KeyLedgerApi, organisationId = 'org'): string => {
  const decision = ledger.mint(organisationId);
  if (decision.kind !== KeyVerdict.Fresh) {
    throw new Error('no key was minted');
  }
  return decision.key;
};

const reasonOf = (decision: KeyDecision): Reason | undefined =>
  decision.kind === KeyVerdict.Refused ? decision.problem.reason : undefined;

const finishDone = (ledger: KeyLedgerApi, decision: KeyDecision, text: string): void => {
  if (decision.kind === KeyVerdict.Fresh) {
    const answer = { status: 200, contentType: '', chunks: [text] };
    ledger.finish(decision.recordId, { state: KeyState.Done, fingerprint: 'f', answer });
  }
};

/** State of a key in the reference ledger, which never drops a key. */
enum ReferenceState {
  Minted,
  Ran,
  Voided,
}

enum Operation {
  Mint,
  Claim,
  Void,
}

const operations = fc.array(
  fc.record({
    operation: fc.constantFrom(Operation.Mint, Operation.Claim, Operation.Void),
    index: fc.nat(30),
  }),
  { maxLength: 120 },
);

/** Claims a key: it may run if it was minted and neither ran nor was voided before. */
const claimInReference = (states: Map<string, ReferenceState>, key: string): boolean => {
  const mayRun = states.get(key) === ReferenceState.Minted;
  states.set(key, mayRun ? ReferenceState.Ran : (states.get(key) ?? ReferenceState.Minted));
  return mayRun;
};

test('equals an unbounded reference ledger', () => {
  fc.assert(
    fc.property(operations, (steps) => {
      const ledger = createLedger(LARGE_LIMITS);
      const keys: string[] = [];
      const reference = new Map<string, ReferenceState>();
      steps.forEach(({ operation, index }) => {
        const key = keys[index % Math.max(keys.length, 1)];
        if (operation === Operation.Mint || key === undefined) {
          const minted = mintKey(ledger);
          keys.push(minted);
          reference.set(minted, ReferenceState.Minted);
        } else if (operation === Operation.Claim) {
          const mayRun = ledger.claim(key, 'org', 'f').kind === KeyVerdict.Fresh;
          expect(mayRun).toEqual(claimInReference(reference, key));
        } else {
          const isVoid = ledger.void(key, 'org', VOIDED).kind === KeyVerdict.Fresh;
          expect(isVoid).toEqual(reference.get(key) === ReferenceState.Minted);
          reference.set(
            key,
            isVoid ? ReferenceState.Voided : (reference.get(key) ?? ReferenceState.Voided),
          );
        }
      });
    }),
    { seed: 3, numRuns: 300 },
  );
});

test('bounded ledger never runs a key twice', () => {
  fc.assert(
    fc.property(operations, fc.integer({ min: 1, max: 5 }), (steps, maxKeyCount) => {
      const ledger = createLedger({ maxKeyCount, maxAnswerBytes: 10 });
      const keys: string[] = [];
      const ran = new Set<string>();
      steps.forEach(({ operation, index }) => {
        const key = keys[index % Math.max(keys.length, 1)];
        if (operation === Operation.Mint || key === undefined) {
          const decision = ledger.mint('org');
          keys.push(...(decision.kind === KeyVerdict.Fresh ? [decision.key] : []));
          return;
        }
        const decision = ledger.claim(key, 'org', 'f');
        expect(decision.kind === KeyVerdict.Fresh && ran.has(key)).toEqual(false);
        if (decision.kind === KeyVerdict.Fresh) {
          ran.add(key);
          finishDone(ledger, decision, 'answer');
        }
      });
    }),
    { seed: 4, numRuns: 300 },
  );
});

test('outcome is unknown once the record is dropped', () => {
  const ledger = createLedger({ maxKeyCount: 2, maxAnswerBytes: 1_000 });
  const key = mintKey(ledger);
  finishDone(ledger, ledger.claim(key, 'org', 'f'), 'answer');
  mintKey(ledger);
  mintKey(ledger);
  const again = ledger.claim(key, 'org', 'f');
  expect(reasonOf(again)).toEqual(Reason.RecordDropped);
  expect(again.kind === KeyVerdict.Refused && again.problem.outcome).toEqual(Outcome.Unknown);
});

test('drops the oldest answer but keeps its record', () => {
  const ledger = createLedger({ maxKeyCount: 10, maxAnswerBytes: 8 });
  const key = mintKey(ledger);
  finishDone(ledger, ledger.claim(key, 'org', 'f'), '12345');
  finishDone(ledger, ledger.claim(mintKey(ledger), 'org', 'f'), '12345');
  const again = ledger.claim(key, 'org', 'f');
  expect(again.kind).toEqual(KeyVerdict.Known);
  expect(again.kind === KeyVerdict.Known && again.record.answer).toEqual(undefined);
});

test('mints no key while all records are of running calls', () => {
  const ledger = createLedger({ maxKeyCount: 1, maxAnswerBytes: 8 });
  ledger.claim(mintKey(ledger), 'org', 'f');
  expect(ledger.mint('org').kind).toEqual(KeyVerdict.Refused);
});

test('refuses the key of another organisation', () => {
  const ledger = createLedger(LARGE_LIMITS);
  expect(reasonOf(ledger.claim(mintKey(ledger), 'other', 'f'))).toEqual(Reason.KeyForged);
});

test('refuses the key of another incarnation', () => {
  const key = mintKey(createLedger(LARGE_LIMITS));
  const decision = createLedger(LARGE_LIMITS, 'second').claim(key, 'org', 'f');
  expect(reasonOf(decision)).toEqual(Reason.KeyFromLostProcess);
});

test('refuses a used key with another request', () => {
  const ledger = createLedger(LARGE_LIMITS);
  const key = mintKey(ledger);
  ledger.claim(key, 'org', 'f');
  expect(reasonOf(ledger.claim(key, 'org', 'g'))).toEqual(Reason.KeySpent);
});
