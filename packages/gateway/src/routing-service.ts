/** @module Chooses the target of a request among those that may accept it. */
import { createInstance } from '@ebonysill/kernel';
import type { ChooseTarget } from './choose-target.js';
import { CallPermission } from './decide-call.js';
import {
  AdmissionVerdict,
  ServiceName,
  type AdmissionApi,
  type AdmissionResult,
  type ColdStartsApi,
  type FindService,
  type GroupsApi,
  type LoadsApi,
  type NoticesApi,
  type Registration,
  type RoutedRequest,
  type TargetsApi,
} from './directory.js';
import type { Effect } from './effect.js';
import type { PublishedTarget } from './published.js';
import type { Runtime } from './runtime.js';

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface RoutingOptions {
  readonly runtime: Runtime;
  readonly availabilityZone: string;
  readonly chooseTarget: ChooseTarget;
}

/** A target is avoided for this long after a failed call, unless there is no other. */
const AVOID_MS = 1_000;

/** Targets of a service and the pools that admit a request, as evaluated for that request. */
interface Survey {
  readonly request: RoutedRequest;
  /** Changes of this gateway's load at the time; a later one makes the survey obsolete. */
  readonly changeCount: number;
  /** Usable targets without those that said that they leave. */
  readonly targets: readonly PublishedTarget[];
  readonly results: ReadonlyMap<string, AdmissionResult>;
}

class RoutingService {
  /** By instance identifier: until when a target is avoided. */
  readonly #avoidUntilMs = new Map<string, number>();

  /** Last survey; undefined when an event may have changed what it was based on. */
  #survey: Survey | undefined;

  readonly #targets: TargetsApi;

  readonly #loads: LoadsApi;

  readonly #groups: GroupsApi;

  readonly #admission: AdmissionApi;

  readonly #coldStarts: ColdStartsApi;

  readonly #notices: NoticesApi;

  private constructor(
    private readonly options: RoutingOptions,
    find: FindService,
  ) {
    this.#targets = find(ServiceName.Targets);
    this.#loads = find(ServiceName.Loads);
    this.#groups = find(ServiceName.Groups);
    this.#admission = find(ServiceName.Admission);
    this.#coldStarts = find(ServiceName.ColdStarts);
    this.#notices = find(ServiceName.Notices);
  }

  static create(options: RoutingOptions, find: FindService): RoutingService {
    return new RoutingService(options, find);
  }

  readonly refusalOf = (request: RoutedRequest): AdmissionResult | undefined => {
    const results = [...this.#surveyFor(request).results.values()];
    return results.every(({ verdict }) => verdict === AdmissionVerdict.Refused)
      ? results[0]
      : undefined;
  };

  readonly choose = (request: RoutedRequest): PublishedTarget | undefined => {
    const { triedIds } = request;
    const { runtime, availabilityZone, chooseTarget } = this.options;
    const { targets, results } = this.#surveyFor(request);
    const untried = targets.filter(
      (target) =>
        !triedIds.has(target.instanceId) &&
        this.#coldStarts.mayStart(target) &&
        this.#notices.decide(target).permission === CallPermission.Allowed,
    );
    const notAvoided = untried.filter(
      ({ instanceId }) => (this.#avoidUntilMs.get(instanceId) ?? 0) <= runtime.nowMs(),
    );
    return chooseTarget({
      candidates: this.#filterAdmitted(results, notAvoided.length > 0 ? notAvoided : untried),
      loads: this.#loads,
      availabilityZone,
      random: runtime.random,
    });
  };

  readonly blockedForMs = (service: string): number => {
    const waits = this.#staying(service).map((target) => this.#notices.decide(target).waitMs);
    return waits.length === 0 ? 0 : Math.min(...waits);
  };

  readonly avoid = (instanceId: string): void => {
    const nowMs = this.options.runtime.nowMs();
    this.#avoidUntilMs.forEach((untilMs, avoided) => {
      if (untilMs <= nowMs) {
        this.#avoidUntilMs.delete(avoided);
      }
    });
    this.#avoidUntilMs.set(instanceId, nowMs + AVOID_MS);
  };

  readonly poolOf = (target: PublishedTarget): string => this.#groups.poolOf(target);

  /** Discards the survey: any event may change targets, loads, passes or notices. */
  handle(): readonly Effect[] {
    this.#survey = undefined;
    return [];
  }

  /** A request that is admitted and then placed within one event is surveyed once. */
  #surveyFor(request: RoutedRequest): Survey {
    const known = this.#survey;
    const changeCount = this.#loads.changeCount();
    if (known?.request === request && known.changeCount === changeCount) {
      return known;
    }
    const targets = this.#staying(request.resolution.service);
    const results = this.#evaluatePools(request, targets);
    const survey = { request, changeCount, targets, results };
    this.#survey = survey;
    return survey;
  }

  /** Usable targets without those that said that they leave. */
  #staying(service: string): readonly PublishedTarget[] {
    return this.#targets
      .usable(service)
      .filter((target) => this.#notices.decide(target).permission !== CallPermission.Never);
  }

  /** Targets in pools that admit one more stream; all targets when no pool does. */
  #filterAdmitted(
    results: ReadonlyMap<string, AdmissionResult>,
    targets: readonly PublishedTarget[],
  ): readonly PublishedTarget[] {
    const admitted = targets.filter(
      (target) => results.get(this.#groups.poolOf(target))?.verdict === AdmissionVerdict.Admitted,
    );
    return admitted.length > 0 ? admitted : targets;
  }

  /** Result of the admission check for each pool of these targets. */
  #evaluatePools(
    { resolution }: RoutedRequest,
    targets: readonly PublishedTarget[],
  ): ReadonlyMap<string, AdmissionResult> {
    const places = new Map<string, { runningCount: number; placeCount: number }>();
    targets.forEach((target) => {
      const pool = this.#groups.poolOf(target);
      const known = places.get(pool) ?? { runningCount: 0, placeCount: 0 };
      known.runningCount += this.#loads.countAt(target.instanceId);
      known.placeCount += target.slots;
      places.set(pool, known);
    });
    const { route } = resolution;
    return new Map(
      [...places].map(([pool, counts]) => [
        pool,
        this.#admission.evaluate({ route, pool, ...counts }),
      ]),
    );
  }
}

/**
 * Registers the service that chooses targets.
 *
 * @example
 * routingRegistration({ runtime, availabilityZone: 'zone-a', chooseTarget: chooseLeastLoaded });
 */
export const routingRegistration = (
  options: RoutingOptions,
): Registration<ServiceName.Routing> => ({
  name: ServiceName.Routing,
  requires: [
    ServiceName.Targets,
    ServiceName.Loads,
    ServiceName.Groups,
    ServiceName.Admission,
    ServiceName.ColdStarts,
    ServiceName.Notices,
  ],
  create: (find) => {
    const service = RoutingService.create(options, find);
    const { refusalOf, choose, blockedForMs, avoid, poolOf } = service;
    return createInstance(
      { refusalOf, choose, blockedForMs, avoid, poolOf },
      { handle: () => service.handle() },
    );
  },
});
