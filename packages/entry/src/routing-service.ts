/** @module Computes the cost of each target that can accept a request; a policy then chooses one. */
import { createHash } from 'node:crypto';
import {
  EventKind,
  ServiceName,
  TargetState,
  type ConfigurationApi,
  type Effect,
  type Event,
  type LinksApi,
  type Peer,
  type Registration,
  type RoutingApi,
  type RoutingQuery,
  type Runtime,
  type TargetConfiguration,
} from '@ebonysill/core';
import { createInstance } from '@ebonysill/kernel';
import type { Candidate, ChooseTarget } from './choose-target.js';

/** Number of targets per service that an entry process opens links to. */
const SUBSET_SIZE = 16;

/** Added to the cost of targets in other availability zones. */
const OTHER_ZONE_PENALTY = 0.25;

/** A target is full when this multiple of its limit is running or waiting. */
const FULL_RATIO = 3;

/** Options of {@link routingRegistration}. */
export interface RoutingOptions {
  readonly runtime: Runtime;
  readonly processId: string;
  readonly availabilityZone: string;
  readonly chooseTarget: ChooseTarget;
}

/** Requests that this process has in progress on one target. */
interface OwnLoad {
  inProgressCount: number;
  /** `inProgressCount` when the last load report arrived. */
  inProgressAtReportCount: number;
  reportedAtMs: number;
}

const rendezvousScore = (processId: string, targetId: string): number =>
  createHash('sha256').update(`${processId}\n${targetId}`).digest().readUInt32BE();

class RoutingService {
  /** By target id, which is also the process id of the target's sidecar. */
  readonly #ownLoads = new Map<string, OwnLoad>();

  /** Revision of the configuration for whose targets links were last opened. */
  #connectedRevision = 0;

  private constructor(
    private readonly options: RoutingOptions,
    private readonly configuration: ConfigurationApi,
    private readonly links: LinksApi,
  ) {}

  static create(
    options: RoutingOptions,
    configuration: ConfigurationApi,
    links: LinksApi,
  ): RoutingService {
    return new RoutingService(options, configuration, links);
  }

  readonly api: RoutingApi = {
    pick: (query) => this.#pick(query),
    started: (targetId) => {
      this.#ownLoad(targetId).inProgressCount += 1;
    },
    ended: (targetId) => {
      this.#ownLoad(targetId).inProgressCount -= 1;
    },
  };

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.LinkMessage) {
      this.#recordReport(this.links.peerOfLink(event.linkId));
    }
    if (this.configuration.revision() === this.#connectedRevision) {
      return [];
    }
    this.#connectedRevision = this.configuration.revision();
    return this.#connect();
  }

  #recordReport(peer: Peer | undefined): void {
    if (peer?.load === undefined) {
      return;
    }
    const own = this.#ownLoad(peer.processId);
    if (own.reportedAtMs !== peer.loadHeardMs) {
      own.reportedAtMs = peer.loadHeardMs;
      own.inProgressAtReportCount = own.inProgressCount;
    }
  }

  /**
   * Opens links to a fixed subset of each service's targets. Rendezvous hashing spreads the subsets
   * of different entry processes.
   */
  #connect(): readonly Effect[] {
    const services = this.configuration.current()?.services ?? [];
    return services
      .flatMap(({ name }) => this.#subset(name))
      .flatMap(({ targetId }) => this.links.ensure(targetId));
  }

  #subset(service: string): readonly TargetConfiguration[] {
    const { processId } = this.options;
    return this.configuration
      .targets(service)
      .map((target) => ({ target, score: rendezvousScore(processId, target.targetId) }))
      .sort((left, right) => right.score - left.score)
      .slice(0, SUBSET_SIZE)
      .map(({ target }) => target);
  }

  #pick({ service, excluded }: RoutingQuery): Peer | undefined {
    const candidates = this.configuration
      .targets(service)
      .filter(({ targetId, availabilityZone }) => {
        const isZoneInService = this.configuration.isInService(availabilityZone);
        return isZoneInService && !excluded.includes(targetId);
      })
      .flatMap(({ targetId }) => this.links.peer(targetId) ?? [])
      .filter((peer) => this.#isEligible(peer));
    return this.options.chooseTarget(
      candidates.map((peer) => this.#createCandidate(peer)),
      this.options.runtime.random,
    )?.peer;
  }

  #isEligible(peer: Peer): boolean {
    const { load } = peer;
    if (load === undefined || load.limit === 0 || load.state === TargetState.Draining) {
      return false;
    }
    if (this.links.isSuspect(peer.linkId)) {
      return false;
    }
    return this.#estimateInProgressCount(peer) < load.limit * FULL_RATIO;
  }

  #createCandidate(peer: Peer): Candidate {
    const limit = peer.load?.limit ?? 1;
    const isLocal = peer.availabilityZone === this.options.availabilityZone;
    const penalty = isLocal ? 0 : OTHER_ZONE_PENALTY;
    return {
      peer,
      cost: this.#estimateInProgressCount(peer) / limit + penalty,
      reportedCost: RoutingService.#reportedCount(peer) / limit + penalty,
    };
  }

  static #reportedCount({ load }: Peer): number {
    return load === undefined ? 0 : load.runningCount + load.waitingCount;
  }

  /** The reported load, with this process's share in it replaced by its current requests. */
  #estimateInProgressCount(peer: Peer): number {
    const own = this.#ownLoad(peer.processId);
    const reportedCount = RoutingService.#reportedCount(peer);
    return Math.max(reportedCount - own.inProgressAtReportCount, 0) + own.inProgressCount;
  }

  #ownLoad(targetId: string): OwnLoad {
    const own = this.#ownLoads.get(targetId) ?? {
      inProgressCount: 0,
      inProgressAtReportCount: 0,
      reportedAtMs: -1,
    };
    this.#ownLoads.set(targetId, own);
    return own;
  }
}

/**
 * Registers the routing service.
 *
 * @example
 * routingRegistration({ runtime, processId: 'entry-1', availabilityZone: 'kochi', chooseTarget: chooseCheapest });
 */
export const routingRegistration = (
  options: RoutingOptions,
): Registration<ServiceName.Routing> => ({
  name: ServiceName.Routing,
  requires: [ServiceName.Configuration, ServiceName.Links],
  create: (find) => {
    const service = RoutingService.create(
      options,
      find(ServiceName.Configuration),
      find(ServiceName.Links),
    );
    return createInstance(service.api, { handle: (event) => service.handle(event) });
  },
});
