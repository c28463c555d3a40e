/**
 * @module Results of this gateway's calls, by target.
 *
 * They are kept by address, so that an instance which restarts again and again is judged by the
 * calls to its predecessors too.
 */
import { createInstance } from '@ebonysill/kernel';
import type { WeighTarget } from '@ebonysill/scheduling';
import { ServiceName, type Registration } from './directory.js';
import type { PublishedTarget } from './published.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';
import { TargetResultKind, type TargetCondition, type TargetResult } from './target-result.js';

/** Options of the service; it uses the clock of `runtime`. */
export interface ResultsOptions {
  readonly runtime: Runtime;
  readonly weighTarget: WeighTarget;
}

/** Maximum number of targets, and of services, whose results are kept. */
const MAX_ENTRIES = 1_024;

/** Time after which a result counts half; a target gets a few calls of a gateway in it. */
const HALF_LIFE_MS = 10_000;

/** A target that rejected a request for being full counts as full for this long. */
const FULL_MS = 100;

/** Weight of a new latency in the moving average of a target. */
const LATENCY_SMOOTHING = 0.25;

/** Factor by which each latency moves the estimate of the median of its service. */
const MEDIAN_STEP = 1.05;

interface Results {
  callCount: number;
  failureCount: number;
  /** 0 before the first answer. */
  latencyMs: number;
  decayedAtMs: number;
  fullUntilMs: number;
}

const UNKNOWN: TargetCondition = { weight: 1, isFull: false };

class ResultsService {
  /** By address. */
  readonly #results = RecentMap.create<Results>(MAX_ENTRIES);

  /** By service: estimate of the median latency. */
  readonly #mediansMs = RecentMap.create<number>(MAX_ENTRIES);

  private constructor(private readonly options: ResultsOptions) {}

  static create(options: ResultsOptions): ResultsService {
    return new ResultsService(options);
  }

  readonly recordResult = ({ address, service }: PublishedTarget, result: TargetResult): void => {
    const nowMs = this.options.runtime.nowMs();
    const known = this.#resultsOf(address, nowMs);
    switch (result.kind) {
      case TargetResultKind.Answered:
        known.callCount += 1;
        known.latencyMs +=
          (known.latencyMs === 0 ? 1 : LATENCY_SMOOTHING) * (result.latencyMs - known.latencyMs);
        this.#recordLatency(service, result.latencyMs);
        break;
      case TargetResultKind.Failed:
        known.callCount += 1;
        known.failureCount += 1;
        break;
      default:
        known.fullUntilMs = nowMs + FULL_MS;
    }
  };

  readonly conditionOf = ({ address, service }: PublishedTarget): TargetCondition => {
    const known = this.#results.get(address);
    if (known === undefined) {
      return UNKNOWN;
    }
    const nowMs = this.options.runtime.nowMs();
    const decay = ResultsService.#decayOf(known, nowMs);
    const medianMs = this.#mediansMs.get(service) ?? 0;
    const isMeasured = medianMs > 0 && known.latencyMs > 0;
    // An old latency counts less, as old failures do, so that a target is tried again.
    const latencyRatio = isMeasured ? 1 + (known.latencyMs / medianMs - 1) * decay : 1;
    return {
      weight: this.options.weighTarget({
        callCount: known.callCount * decay,
        failureCount: known.failureCount * decay,
        latencyRatio: Math.max(1, latencyRatio),
      }),
      isFull: known.fullUntilMs > nowMs,
    };
  };

  static #decayOf({ decayedAtMs }: Results, nowMs: number): number {
    return 0.5 ** ((nowMs - decayedAtMs) / HALF_LIFE_MS);
  }

  #resultsOf(address: string, nowMs: number): Results {
    const known = this.#results.get(address) ?? {
      callCount: 0,
      failureCount: 0,
      latencyMs: 0,
      decayedAtMs: nowMs,
      fullUntilMs: -Infinity,
    };
    const decay = ResultsService.#decayOf(known, nowMs);
    known.callCount *= decay;
    known.failureCount *= decay;
    known.decayedAtMs = nowMs;
    this.#results.set(address, known);
    return known;
  }

  #recordLatency(service: string, latencyMs: number): void {
    const medianMs = this.#mediansMs.get(service);
    if (medianMs === undefined) {
      this.#mediansMs.set(service, Math.max(1, latencyMs));
      return;
    }
    this.#mediansMs.set(
      service,
      latencyMs > medianMs ? medianMs * MEDIAN_STEP : Math.max(1, medianMs / MEDIAN_STEP),
    );
  }
}

/**
 * Registers the service that keeps the results of calls.
 *
 * @example
 * const services = [resultsRegistration({ runtime, weighTarget })];
 */
export const resultsRegistration = (
  options: ResultsOptions,
): Registration<ServiceName.Results> => ({
  name: ServiceName.Results,
  requires: [],
  create: () => {
    const { recordResult, conditionOf } = ResultsService.create(options);
    return createInstance({ recordResult, conditionOf }, {});
  },
});
