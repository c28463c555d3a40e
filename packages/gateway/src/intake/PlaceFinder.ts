/** @module Finds places for requests at the targets of a service, within this gateway's share. */
import type { QueueDecisions } from '@ebonysill/scheduling';
import { longPassMsOf } from '../decide-admission.js';
import {
  ServiceName,
  type AdmissionApi,
  type AdmissionResult,
  type FindService,
  type LoadsApi,
  type MembersApi,
  type RetriesApi,
  type RoutingApi,
  type TargetsApi,
  type ThroughputApi,
} from '../directory.js';
import { ExchangeReason, type Exchange } from '../exchange.js';
import { PeerRole } from '../peer-message.js';
import type { PublishedTarget } from '../published.js';
import type { Runtime } from '../runtime.js';
import StartQuota from './StartQuota.js';

/** Why a request cannot start now. */
export interface Obstacle {
  readonly reason: ExchangeReason;
  readonly admission?: AdmissionResult;
}

/** Target at which a request can start, or why there is none. */
export type Place =
  | { readonly target: PublishedTarget }
  | { readonly target: undefined; readonly obstacle: Obstacle };

/** What the decisions on the waiting requests of a service have in common. */
export interface ServiceState {
  /** Starts that this gateway can expect; 0 when unknown. */
  readonly startsPerSecond: number;
  /** Time until some target takes requests again; 0 when one does. */
  readonly blockedForMs: number;
}

/** Requests at some targets, and the places for them. */
interface Occupancy {
  readonly ownCount: number;
  readonly runningCount: number;
  readonly placeCount: number;
}

const MS_PER_SECOND = 1_000;

/** No target can be chosen. */
export const NO_TARGET: Obstacle = { reason: ExchangeReason.NoTarget };

/** Names of the services that a place finder uses. */
export const PLACE_SERVICES = [
  ServiceName.Targets,
  ServiceName.Loads,
  ServiceName.Members,
  ServiceName.Admission,
  ServiceName.Routing,
  ServiceName.Retries,
  ServiceName.Throughput,
] as const;

/** Keeps the quota of this gateway in each pool of targets. */
export default class PlaceFinder {
  /** By pool. */
  readonly #quotas = new Map<string, StartQuota>();

  readonly #targets: TargetsApi;

  readonly #loads: LoadsApi;

  readonly #members: MembersApi;

  readonly #admission: AdmissionApi;

  readonly #routing: RoutingApi;

  readonly #retries: RetriesApi;

  readonly #throughput: ThroughputApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#targets = find(ServiceName.Targets);
    this.#loads = find(ServiceName.Loads);
    this.#members = find(ServiceName.Members);
    this.#admission = find(ServiceName.Admission);
    this.#routing = find(ServiceName.Routing);
    this.#retries = find(ServiceName.Retries);
    this.#throughput = find(ServiceName.Throughput);
  }

  /**
   * Creates a finder whose quotas are unused.
   *
   * @example
   * const places = PlaceFinder.create(runtime, find);
   */
  static create(runtime: Runtime, find: FindService): PlaceFinder {
    return new PlaceFinder(runtime, find);
  }

  /** Finds a target regardless of this gateway's share. */
  find(exchange: Exchange): Place {
    const admission = this.#routing.refusalOf(exchange);
    if (admission !== undefined) {
      return { target: undefined, obstacle: { reason: ExchangeReason.TooManyStreams, admission } };
    }
    const target = this.#retries.choose(exchange);
    return target === undefined ? { target, obstacle: NO_TARGET } : { target };
  }

  /** Why a request that could not start is refused. */
  obstacleOf(exchange: Exchange): Obstacle {
    const admission = this.#routing.refusalOf(exchange);
    return admission === undefined
      ? NO_TARGET
      : { reason: ExchangeReason.TooManyStreams, admission };
  }

  /** Finds a target in a pool in which this gateway has a start left. */
  findInShare(exchange: Exchange, decisions: QueueDecisions): Place {
    const place = this.find(exchange);
    return place.target === undefined || this.#hasQuota(exchange, place.target, decisions)
      ? place
      : { target: undefined, obstacle: { reason: ExchangeReason.TooManyStreams } };
  }

  /** Counts a start against the gateway's share. */
  recordStart(target: PublishedTarget): void {
    this.#quotaOf(this.#routing.poolOf(target)).take();
  }

  /** Whether a service has any target. */
  hasTargets(service: string): boolean {
    return this.#targets.usable(service).length > 0;
  }

  /** State of a service as far as it concerns requests that wait. */
  stateOf(service: string, { decideShare }: QueueDecisions): ServiceState {
    const gatewayCount = this.#gatewayCount();
    const rates = [...this.#poolsOf(service)].map(([pool, targets]) => {
      const { ownCount, runningCount } = this.#occupancyOf(targets);
      const share = decideShare({ gatewayCount, ownCount, runningCount });
      return share * this.#endsPerSecond(pool, runningCount);
    });
    return {
      startsPerSecond: rates.reduce((sum, rate) => sum + rate, 0),
      blockedForMs: this.#routing.blockedForMs(service),
    };
  }

  /**
   * Rate of ends by now: where passes do not slow down with the load, requests that run end after
   * the usual time, also if fewer ended before.
   */
  #endsPerSecond(pool: string, runningCount: number): number {
    const measured = this.#throughput.endsPerSecond(pool);
    const heldMs = this.#throughput.meanHeldMs(pool) ?? 0;
    return this.#admission.passMsOf(pool) > 0 || heldMs === 0
      ? measured
      : Math.max(measured, (runningCount * MS_PER_SECOND) / heldMs);
  }

  #poolsOf(service: string): ReadonlyMap<string, readonly PublishedTarget[]> {
    const pools = new Map<string, PublishedTarget[]>();
    this.#targets.usable(service).forEach((target) => {
      const pool = this.#routing.poolOf(target);
      const targets = pools.get(pool) ?? [];
      targets.push(target);
      pools.set(pool, targets);
    });
    return pools;
  }

  #hasQuota(
    { isStream, resolution: { route, service } }: Exchange,
    target: PublishedTarget,
    { decideShare, decideStartRate }: QueueDecisions,
  ): boolean {
    const longPassMs = isStream ? longPassMsOf(route.maxPauseMs) : 0;
    if (longPassMs === 0) {
      return true;
    }
    const pool = this.#routing.poolOf(target);
    const targets = this.#targets
      .usable(service)
      .filter((other) => this.#routing.poolOf(other) === pool);
    const { ownCount, runningCount, placeCount } = this.#occupancyOf(targets);
    const startsPerSecond = decideStartRate({
      longPassMs,
      passMs: this.#admission.passMsOf(pool),
      runningCount,
      placeCount,
      endsPerSecond: this.#throughput.endsPerSecond(pool),
      share: decideShare({ gatewayCount: this.#gatewayCount(), ownCount, runningCount }),
    });
    // A gateway without requests in the pool starts one, by which it measures the passes.
    return this.#quotaOf(pool).mayStart(startsPerSecond) || ownCount === 0;
  }

  #quotaOf(pool: string): StartQuota {
    const quota = this.#quotas.get(pool) ?? StartQuota.create(this.runtime.nowMs);
    this.#quotas.set(pool, quota);
    return quota;
  }

  #occupancyOf(targets: readonly PublishedTarget[]): Occupancy {
    return targets.reduce<Occupancy>(
      ({ ownCount, runningCount, placeCount }, { instanceId, slots }) => ({
        ownCount: ownCount + this.#loads.ownCountAt(instanceId),
        runningCount: runningCount + this.#loads.countAt(instanceId),
        placeCount: placeCount + slots,
      }),
      { ownCount: 0, runningCount: 0, placeCount: 0 },
    );
  }

  #gatewayCount(): number {
    return this.#members.others(PeerRole.Gateway).length + 1;
  }
}
