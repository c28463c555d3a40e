/**
 * @module Admission control: limits the requests in progress per organisation and per process, and
 * queues the others by priority, with fair shares between organisations.
 */
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
const MAX_QUEUE_WAIT_MS = 10_000;

/** Weight of the newest request duration in the exponential moving average. */
const DURATION_SMOOTHING = 0.1;

/** Organisations whose retry budgets are kept; the least recently used is dropped first. */
const MAX_RETRY_BUDGETS = 4_096;

/** Options of {@link admissionRegistration}. */
export interface AdmissionOptions {
  readonly runtime: Runtime;
  /** Maximum number of requests in progress in this process; further requests are queued. */
  readonly maxInProgress: number;
}

interface Admitted {
  readonly request: AdmissionRequest;
  readonly admittedAtMs: number;
}

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
    this.#depositRetries(organisationId);
    if (this.#admitted.size < this.options.maxInProgress && this.#queue.size === 0) {
      this.#addAdmitted(request);
      return { kind: Admission.Admitted };
    }
    const maxWaitMs = Math.min(MAX_QUEUE_WAIT_MS, request.timeLeftMs);
    if (this.#expectedWaitMs() > maxWaitMs) {
      const detail = 'the queue is longer than the time that is left';
      return { kind: Admission.Refused, problem: notRun(Reason.Overloaded, detail) };
    }
    this.#queue.set(request.exchangeId, request);
    this.#adjustCount(organisationId, 1);
    return { kind: Admission.Queued, maxWaitMs };
  }

  #release(exchangeId: string): readonly string[] {
    const queued = this.#queue.get(exchangeId);
    if (queued !== undefined) {
      this.#queue.delete(exchangeId);
      this.#adjustCount(queued.organisation.organisationId, -1);
      return [];
    }
    const admitted = this.#admitted.get(exchangeId);
    if (admitted === undefined) {
      return [];
    }
    this.#removeAdmitted(exchangeId, admitted);
    return this.#admitNext();
  }

  #admitNext(): readonly string[] {
    const next = this.#nextQueued();
    if (next === undefined || this.#admitted.size >= this.options.maxInProgress) {
      return [];
    }
    this.#queue.delete(next.exchangeId);
    this.#adjustCount(next.organisation.organisationId, -1);
    this.#addAdmitted(next);
    return [next.exchangeId];
  }

  /** The highest priority first; within it, the organisation that uses the least of its share. */
  #nextQueued(): AdmissionRequest | undefined {
    const waiting = [...this.#queue.values()];
    const highest = Math.max(...waiting.map(({ priority }) => priority));
    return waiting
      .filter(({ priority }) => priority === highest)
      .reduce<AdmissionRequest | undefined>(
        (best, candidate) =>
          best === undefined || this.#usedShareOf(candidate) < this.#usedShareOf(best)
            ? candidate
            : best,
        undefined,
      );
  }

  #usedShareOf({ organisation }: AdmissionRequest): number {
    const { organisationId, weight } = organisation;
    const inProgressCount = [...this.#admitted.values()].filter(
      ({ request }) => request.organisation.organisationId === organisationId,
    ).length;
    return inProgressCount / weight;
  }

  #expectedWaitMs(): number {
    return ((this.#queue.size + 1) * this.#averageDurationMs) / this.options.maxInProgress;
  }

  #addAdmitted(request: AdmissionRequest): void {
    this.#admitted.set(request.exchangeId, { request, admittedAtMs: this.options.runtime.nowMs() });
    this.#adjustCount(request.organisation.organisationId, 1);
  }

  #removeAdmitted(exchangeId: string, { request, admittedAtMs }: Admitted): void {
    const durationMs = this.options.runtime.nowMs() - admittedAtMs;
    this.#averageDurationMs += DURATION_SMOOTHING * (durationMs - this.#averageDurationMs);
    this.#admitted.delete(exchangeId);
    this.#adjustCount(request.organisation.organisationId, -1);
  }

  #countOf(organisationId: string): number {
    return this.#countByOrganisation.get(organisationId) ?? 0;
  }

  #adjustCount(organisationId: string, change: number): void {
    const count = this.#countOf(organisationId) + change;
    if (count === 0) {
      this.#countByOrganisation.delete(organisationId);
    } else {
      this.#countByOrganisation.set(organisationId, count);
    }
  }

  #depositRetries(organisationId: string): void {
    this.#totalBudget.deposit();
    this.#budgetOf(organisationId).deposit();
  }

  #takeRetry(organisationId: string): boolean {
    const budget = this.#budgetOf(organisationId);
    if (!budget.canWithdraw() || !this.#totalBudget.canWithdraw()) {
      return false;
    }
    budget.withdraw();
    this.#totalBudget.withdraw();
    return true;
  }

  #budgetOf(organisationId: string): RetryBudget {
    const budget = this.#budgets.get(organisationId) ?? RetryBudget.create();
    this.#budgets.delete(organisationId);
    this.#budgets.set(organisationId, budget);
    if (this.#budgets.size > MAX_RETRY_BUDGETS) {
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
