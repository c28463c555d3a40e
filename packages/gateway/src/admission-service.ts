/**
 * @module Limits how many streams run at once.
 *
 * The more streams run in a group of targets, the longer each forward pass of the group takes, for
 * all of them. Every gateway measures the passes by the pauses of its own streams, so each can stop
 * admitting streams before the pauses exceed the objective, without asking the others.
 */
import { createInstance } from '@ebonysill/kernel';
import {
  AdmissionVerdict,
  ServiceName,
  type AdmissionResult,
  type Registration,
} from './directory.js';
import PassMeter from './PassMeter.js';
import type { Route } from './published.js';
import type { Runtime } from './runtime.js';

/** Fraction of the pause objective at which streams are refused; some passes take a third longer. */
const REFUSAL_FRACTION = 0.7;

/** Streams that a gateway may always run, however long passes take, so that it can measure them. */
const MIN_STREAMS = 1;

/** Streams admitted while the duration of a pass is unknown. */
const MAX_STREAMS_WITHOUT_ESTIMATE = 4;

/** Retry delay of a refused caller: about the time in which the first running streams end. */
const RETRY_AFTER_MS = 200;

/** Options of the service; it uses the clock of `runtime`. */
export interface AdmissionOptions {
  readonly runtime: Runtime;
}

/** Admits streams by the estimated duration of a pass, separately for each pool of targets. */
class AdmissionService {
  readonly #runningCounts = new Map<string, number>();

  readonly #meters = new Map<string, PassMeter>();

  private constructor(private readonly runtime: Runtime) {}

  static create(runtime: Runtime): AdmissionService {
    return new AdmissionService(runtime);
  }

  readonly evaluate = ({ maxPauseMs }: Route, pool: string): AdmissionResult => {
    const runningCount = this.#runningCounts.get(pool) ?? 0;
    const passMs = this.#meters.get(pool)?.estimateMs() ?? 0;
    const isAdmitted =
      maxPauseMs === 0 ||
      runningCount < MIN_STREAMS ||
      (passMs === 0
        ? runningCount < MAX_STREAMS_WITHOUT_ESTIMATE
        : passMs < maxPauseMs * REFUSAL_FRACTION);
    return {
      verdict: isAdmitted ? AdmissionVerdict.Admitted : AdmissionVerdict.Refused,
      retryAfterMs: RETRY_AFTER_MS,
      runningCount,
      passMs,
    };
  };

  readonly recordStart = (pool: string, isStream: boolean): void => {
    if (isStream) {
      this.#runningCounts.set(pool, (this.#runningCounts.get(pool) ?? 0) + 1);
    }
  };

  readonly recordEnd = (pool: string, isStream: boolean): void => {
    if (isStream) {
      this.#runningCounts.set(pool, Math.max(0, (this.#runningCounts.get(pool) ?? 0) - 1));
    }
  };

  readonly recordPause = (pool: string, pauseMs: number): void => {
    const meter = this.#meters.get(pool) ?? PassMeter.create(this.runtime.nowMs);
    this.#meters.set(pool, meter);
    meter.record(pauseMs);
  };
}

/**
 * Registers the service that limits streams.
 *
 * @example
 * const services = [admissionRegistration({ runtime })];
 */
export const admissionRegistration = ({
  runtime,
}: AdmissionOptions): Registration<ServiceName.Admission> => ({
  name: ServiceName.Admission,
  requires: [],
  create: () => createInstance(AdmissionService.create(runtime), {}),
});
