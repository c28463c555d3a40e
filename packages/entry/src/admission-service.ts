/** @module Admits requests by organisation and in all; queues in fair shares by priority. */
import {
  Admission,
  Reason,
  ServiceName,
  notRun,
  type AdmissionApi,
  type AdmissionDecision,
  type AdmissionRequest,
  type Registration,
  type Runtime,
} from '@ebonysill/core';
import { createInstance } from '@ebonysill/kernel';
import RetryBudget from './RetryBudget.js';

/** Longest wait in the queue. */
const MAX_WAIT_MS = 10_000;

/** Weight of the newest duration in the moving average. */
const DURATION_SMOOTHING = 0.1;

/** Idle organisations whose counters are kept. */
const MAX_IDLE_ORGANISATIONS = 4_096;

/** What the admission service is created from. */
export interface AdmissionOptions {
  readonly runtime: Runtime;
  /** Requests in progress in this process. */
  readonly maxInProgress: number;
}

interface Admitted {
  readonly request: AdmissionRequest;
  readonly sinceMs: number;
}

/** Decides who may proceed. */
class AdmissionService {
  readonly #admitted = new Map<string, Admitted>();

  readonly #queue = new Map<string, AdmissionRequest>();

  readonly #countByOrganisation = new Map<string, number>();

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #totalBudget = RetryBudget.create();

  #averageDurationMs = 0;

  private constructor(private readonly options: AdmissionOptions) {}

  static create(options: AdmissionOptions): AdmissionService {
    return new AdmissionService(options);
  }

  readonly api: AdmissionApi = {
    admit: (request) => this.#admit(request),
    release: (exchangeId) => this.#release(exchangeId),
    takeRetry: (organisationId) => this.#takeRetry(organisationId),
  };

  #admit(request: AdmissionRequest): AdmissionDecision {
    const { organisationId, maxInProgress } = request.organisation;
    if (this.#countOf(organisationId) >= maxInProgress) {
      const detail = `"${organisationId}" has ${maxInProgress} requests in progress here`;
      return { kind: Admission.Refused, problem: notRun(Reason.OrganisationLimit, detail) };
    }
    this.#earn(organisationId);
    if (this.#admitted.size < this.options.maxInProgress && this.#queue.size === 0) {
      this.#enter(request);
      return { kind: Admission.Admitted };
    }
    const maxWaitMs = Math.min(MAX_WAIT_MS, request.timeLeftMs);
    if (this.#expectedWaitMs() > maxWaitMs) {
      const detail = 'the queue is longer than the time that is left';
      return { kind: Admission.Refused, problem: notRun(Reason.Overloaded, detail) };
    }
    this.#queue.set(request.exchangeId, request);
    this.#count(organisationId, 1);
    return { kind: Admission.Queued, maxWaitMs };
  }

  #release(exchangeId: string): readonly string[] {
    const queued = this.#queue.get(exchangeId);
    if (queued !== undefined) {
      this.#queue.delete(exchangeId);
      this.#count(queued.organisation.organisationId, -1);
      return [];
    }
    const admitted = this.#admitted.get(exchangeId);
    if (admitted === undefined) {
      return [];
    }
    this.#leave(exchangeId, admitted);
    return this.#admitNext();
  }

  #admitNext(): readonly string[] {
    const next = this.#nextQueued();
    if (next === undefined || this.#admitted.size >= this.options.maxInProgress) {
      return [];
    }
    this.#queue.delete(next.exchangeId);
    this.#count(next.organisation.organisationId, -1);
    this.#enter(next);
    return [next.exchangeId];
  }

  /** The highest priority first; within it, the organisation that uses least of its share. */
  #nextQueued(): AdmissionRequest | undefined {
    const waiting = [...this.#queue.values()];
    const highest = Math.max(...waiting.map(({ priority }) => priority));
    return waiting
      .filter(({ priority }) => priority === highest)
      .reduce<AdmissionRequest | undefined>(
        (best, candidate) =>
          best === undefined || this.#shareOf(candidate) < this.#shareOf(best) ? candidate : best,
        undefined,
      );
  }

  #shareOf({ organisation }: AdmissionRequest): number {
    const { organisationId, weight } = organisation;
    const inProgressCount = [...this.#admitted.values()].filter(
      ({ request }) => request.organisation.organisationId === organisationId,
    ).length;
    return inProgressCount / weight;
  }

  #expectedWaitMs(): number {
    return ((this.#queue.size + 1) * this.#averageDurationMs) / this.options.maxInProgress;
  }

  #enter(request: AdmissionRequest): void {
    this.#admitted.set(request.exchangeId, { request, sinceMs: this.options.runtime.nowMs() });
    this.#count(request.organisation.organisationId, 1);
  }

  #leave(exchangeId: string, { request, sinceMs }: Admitted): void {
    const durationMs = this.options.runtime.nowMs() - sinceMs;
    this.#averageDurationMs += DURATION_SMOOTHING * (durationMs - this.#averageDurationMs);
    this.#admitted.delete(exchangeId);
    this.#count(request.organisation.organisationId, -1);
  }

  #countOf(organisationId: string): number {
    return this.#countByOrganisation.get(organisationId) ?? 0;
  }

  #count(organisationId: string, change: number): void {
    const count = this.#countOf(organisationId) + change;
    if (count === 0) {
      this.#countByOrganisation.delete(organisationId);
    } else {
      this.#countByOrganisation.set(organisationId, count);
    }
  }

  #earn(organisationId: string): void {
    this.#totalBudget.earn();
    this.#budgetOf(organisationId).earn();
  }

  #takeRetry(organisationId: string): boolean {
    const budget = this.#budgetOf(organisationId);
    if (!budget.hasOne() || !this.#totalBudget.hasOne()) {
      return false;
    }
    budget.spend();
    this.#totalBudget.spend();
    return true;
  }

  #budgetOf(organisationId: string): RetryBudget {
    const budget = this.#budgets.get(organisationId) ?? RetryBudget.create();
    this.#budgets.delete(organisationId);
    this.#budgets.set(organisationId, budget);
    if (this.#budgets.size > MAX_IDLE_ORGANISATIONS) {
      const [oldest] = this.#budgets.keys();
      this.#budgets.delete(oldest as string);
    }
    return budget;
  }
}

/**
 * Registers the admission service.
 *
 * @example
 * admissionRegistration({ runtime, maxInProgress: 2_000 });
 */
export const admissionRegistration = (
  options: AdmissionOptions,
): Registration<ServiceName.Admission> => ({
  name: ServiceName.Admission,
  requires: [],
  create: () => createInstance(AdmissionService.create(options).api, {}),
});
