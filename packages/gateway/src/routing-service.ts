/** @module Chooses the target of a request among those that may accept it. */
import { createInstance } from '@ebonysill/kernel';
import { usualWorkTokens, type MeasureRequest, type RequestWork } from '@ebonysill/scheduling';
import type { ChooseTarget, TargetCandidate } from './choose-target.js';
import { CallPermission } from './decide-call.js';
import {
  AdmissionVerdict,
  ServiceName,
  type AdmissionApi,
  type AdmissionResult,
  type CatalogueApi,
  type ColdStartsApi,
  type FindService,
  type GroupsApi,
  type LoadsApi,
  type MembersApi,
  type NoticesApi,
  type Registration,
  type ResultsApi,
  type RoutedRequest,
  type TargetsApi,
} from './directory.js';
import type { Effect } from './effect.js';
import LoadedTarget from './LoadedTarget.js';
import { PeerRole } from './peer-message.js';
import { isSized, type PublishedTarget, type SizedEngine } from './published.js';
import type { Runtime } from './runtime.js';

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface RoutingOptions {
  readonly runtime: Runtime;
  readonly availabilityZone: string;
  readonly chooseTarget: ChooseTarget;
  /** Determines the work of requests; absent when they are counted. */
  readonly measureRequest?: MeasureRequest;
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

  readonly #results: ResultsApi;

  readonly #catalogue: CatalogueApi;

  readonly #members: MembersApi;

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
    this.#results = find(ServiceName.Results);
    this.#catalogue = find(ServiceName.Catalogue);
    this.#members = find(ServiceName.Members);
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
    const { runtime, chooseTarget } = this.options;
    const engine = this.#engineOf(request.resolution.service);
    const usualTokens = engine === undefined ? 1 : usualWorkTokens(engine);
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
    const admitted = this.#filterAdmitted(results, notAvoided.length > 0 ? notAvoided : untried);
    return chooseTarget({
      candidates: admitted.map((target) => this.#toCandidate(target, usualTokens)),
      work: this.workOf(request),
      usualTokens,
      otherGatewayCount: this.#members.others(PeerRole.Gateway).length,
      random: runtime.random,
    })?.target;
  };

  readonly workOf = ({ resolution, request }: RoutedRequest): RequestWork | undefined => {
    const engine = this.#engineOf(resolution.service);
    return engine === undefined ? undefined : this.options.measureRequest?.(request, engine);
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

  /** Engine of a service by whose published sizes requests are measured. */
  #engineOf(service: string): SizedEngine | undefined {
    const engine = this.#catalogue.serviceOf(service)?.engine;
    return this.options.measureRequest !== undefined && isSized(engine) ? engine : undefined;
  }

  #toCandidate(target: PublishedTarget, usualTokens: number): TargetCandidate {
    return LoadedTarget.create({
      target,
      usualTokens,
      loads: this.#loads,
      results: this.#results,
      availabilityZone: this.options.availabilityZone,
    });
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
    const { route, moreUrgentLevels } = resolution;
    return new Map(
      [...places].map(([pool, counts]) => [
        pool,
        this.#admission.evaluate({ route, pool, moreUrgentLevels, ...counts }),
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
    ServiceName.Results,
    ServiceName.Catalogue,
    ServiceName.Members,
  ],
  create: (find) => {
    const service = RoutingService.create(options, find);
    const { refusalOf, choose, workOf, blockedForMs, avoid, poolOf } = service;
    return createInstance(
      { refusalOf, choose, workOf, blockedForMs, avoid, poolOf },
      { handle: () => service.handle() },
    );
  },
});
