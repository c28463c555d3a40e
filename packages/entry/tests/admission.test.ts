import { test } from 'node:test';
import {
  Admission,
  Reason,
  type AdmissionApi,
  type OrganisationConfiguration,
} from '@ebonysill/core';
import { expect } from 'earl';
import fc from 'fast-check';
import { admissionRegistration } from '../src/admission-service.js';

let nowMs = 0;

const createAdmission = (maxInProgress: number): AdmissionApi =>
  admissionRegistration({
    runtime: { nowMs: () => nowMs, random: () => 0 },
    maxInProgress,
  }).create(() => {
    throw new Error('admission requires no service');
  }).api;

const organisation = (organisationId: string, maxInProgress = 100): OrganisationConfiguration => ({
  organisationId,
  credentialSha256: '',
  maxInProgress,
  weight: 1,
});

const admit = (
  api: AdmissionApi,
  exchangeId: string,
  { organisationId = 'org', priority = 5, timeLeftMs = 10_000, limit = 100 },
): Admission =>
  api.admit({
    exchangeId,
    organisation: organisation(organisationId, limit),
    priority,
    timeLeftMs,
  }).kind;

test('admits up to the limit, then queues', () => {
  const api = createAdmission(2);
  expect(['a', 'b', 'c'].map((id) => admit(api, id, {}))).toEqual([
    Admission.Admitted,
    Admission.Admitted,
    Admission.Queued,
  ]);
  expect(api.release('a')).toEqual(['c']);
});

test('refuses an organisation above its own limit', () => {
  const api = createAdmission(10);
  admit(api, 'a', { limit: 1 });
  const decision = api.admit({
    exchangeId: 'b',
    organisation: organisation('org', 1),
    priority: 5,
    timeLeftMs: 1_000,
  });
  expect(decision.kind === Admission.Refused && decision.problem.reason).toEqual(
    Reason.OrganisationLimit,
  );
});

test('admits the highest priority first', () => {
  const api = createAdmission(1);
  admit(api, 'a', {});
  admit(api, 'low', { priority: 1 });
  admit(api, 'high', { priority: 9 });
  expect(api.release('a')).toEqual(['high']);
});

test('admits the organisation with the smallest share first', () => {
  const api = createAdmission(2);
  admit(api, 'a', { organisationId: 'large' });
  admit(api, 'b', { organisationId: 'large' });
  admit(api, 'c', { organisationId: 'large' });
  admit(api, 'd', { organisationId: 'small' });
  expect(api.release('a')).toEqual(['d']);
});

test('refuses when the expected wait exceeds the time left', () => {
  const api = createAdmission(1);
  admit(api, 'a', {});
  nowMs += 10_000;
  api.release('a');
  admit(api, 'b', {});
  admit(api, 'c', {});
  expect(admit(api, 'd', { timeLeftMs: 500 })).toEqual(Admission.Refused);
});

test('retry budget is bounded', () => {
  const api = createAdmission(1_000);
  Array.from({ length: 1_000 }, (_, index) => {
    admit(api, String(index), { limit: 2_000 });
    return api.release(String(index));
  });
  const taken = Array.from({ length: 100 }, () => api.takeRetry('org')).filter(Boolean);
  expect(taken.length).toEqual(15);
});

enum Operation {
  Admit,
  Release,
}

test('fills the limit and never exceeds it', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          operation: fc.constantFrom(Operation.Admit, Operation.Release),
          id: fc.nat(20),
          organisationId: fc.constantFrom('x', 'y', 'z'),
        }),
      ),
      fc.integer({ min: 1, max: 5 }),
      (steps, maxInProgress) => {
        const api = createAdmission(maxInProgress);
        const running = new Set<string>();
        const queued = new Set<string>();
        steps.forEach(({ operation, id, organisationId }) => {
          const exchangeId = String(id);
          const isKnown = running.has(exchangeId) || queued.has(exchangeId);
          if (operation === Operation.Release) {
            running.delete(exchangeId);
            queued.delete(exchangeId);
            api.release(exchangeId).forEach((next) => {
              expect(queued.delete(next)).toEqual(true);
              running.add(next);
            });
          } else if (!isKnown) {
            const kind = admit(api, exchangeId, { organisationId });
            (kind === Admission.Admitted ? running : queued).add(exchangeId);
          }
          expect(running.size <= maxInProgress).toEqual(true);
          expect(queued.size === 0 || running.size === maxInProgress).toEqual(true);
        });
      },
    ),
    { seed: 8, numRuns: 300 },
  );
});
