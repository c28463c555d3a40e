/**
 * @module Limits the requests that a cold target gets.
 *
 * The limit applies to all gateways together, so each uses only its share of it; where that is less than a
 * request a second, gateways take turns. A gateway that starts
 * sends nothing to cold targets in its first second before a peer has answered; then what all
 * gateways sent, the process that ran here before among them, counts against its share.
 */
import { createInstance } from '@ebonysill/kernel';
import { coldSlotOf, ownsColdSlot } from '@ebonysill/scheduling';
import {
  ServiceName,
  type CatalogueApi,
  type FindService,
  type Registration,
  type TargetsApi,
} from './directory.js';
import { EventKind, type Event } from './event.js';
import GatewayShare from './GatewayShare.js';
import { PeerMessageKind, type PeerMessage, type TargetCount } from './peer-message.js';
import type { PublishedTarget } from './published.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';
import SlidingCounter from './SlidingCounter.js';

/** Options of the service; it uses the clock of `runtime`. */
export interface ColdStartsOptions {
  readonly runtime: Runtime;
}

const WINDOW_MS = 1_000;

/** Maximum number of counters of one kind; targets are replaced over time. */
const MAX_COUNTERS = 1_024;

/** Counts the requests sent to each target in the last second. */
class ColdStartsService {
  /** By instance identifier: requests of this gateway. */
  readonly #sent = RecentMap.create<SlidingCounter>(MAX_COUNTERS);

  /** By instance identifier: requests that other gateways announced. */
  readonly #announced = RecentMap.create<SlidingCounter>(MAX_COUNTERS);

  /** By instance identifier: requests before the start of this process, as peers reported them. */
  readonly #reported = RecentMap.create<SlidingCounter>(MAX_COUNTERS);

  /** By instance identifier: slot in which this gateway sent its last request. */
  readonly #usedSlots = RecentMap.create<number>(MAX_COUNTERS);

  readonly #startedAtMs: number;

  #hasAnswer = false;

  readonly #share: GatewayShare;

  readonly #catalogue: CatalogueApi;

  readonly #targets: TargetsApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#share = GatewayShare.create(find(ServiceName.Members));
    this.#catalogue = find(ServiceName.Catalogue);
    this.#targets = find(ServiceName.Targets);
    this.#startedAtMs = runtime.nowMs();
  }

  static create(runtime: Runtime, find: FindService): ColdStartsService {
    return new ColdStartsService(runtime, find);
  }

  readonly mayStart = ({ instanceId, service }: PublishedTarget): boolean => {
    const perSecond = this.#catalogue.serviceOf(service)?.coldPerSecond ?? 0;
    if (perSecond === 0 || !this.#isCold(instanceId)) {
      return true;
    }
    if (this.#isStarting() && !this.#hasAnswer) {
      return false;
    }
    const count = ColdStartsService.#countOf(this.#sent, instanceId);
    const reportedCount = ColdStartsService.#countOf(this.#reported, instanceId);
    const share = this.#share.of(perSecond);
    return share < 1
      ? reportedCount + 1 <= Math.max(1, perSecond) && this.#mayUseSlot(instanceId, perSecond)
      : count + reportedCount + 1 <= share;
  };

  /** Whether this gateway's turn has come and no request of it was sent in this turn. */
  #mayUseSlot(instanceId: string, perSecond: number): boolean {
    const coldMsLeft = this.#targets.coldMsLeft(instanceId);
    const { index, count } = this.#share.place();
    return (
      ownsColdSlot({ coldMsLeft, perSecond, gatewayIndex: index, gatewayCount: count }) &&
      this.#usedSlots.get(instanceId) !== coldSlotOf({ coldMsLeft, perSecond })
    );
  }

  readonly recordStart = ({ instanceId, service }: PublishedTarget): void => {
    this.#add(this.#sent, instanceId, 1);
    const perSecond = this.#catalogue.serviceOf(service)?.coldPerSecond ?? 0;
    const coldMsLeft = this.#targets.coldMsLeft(instanceId);
    this.#usedSlots.set(instanceId, coldSlotOf({ coldMsLeft, perSecond }));
  };

  readonly recentStarts = (): readonly TargetCount[] =>
    [...new Set([...this.#sent.keys(), ...this.#announced.keys()])]
      .filter((instanceId) => this.#isCold(instanceId))
      .map((instanceId) => ({
        instanceId,
        count:
          ColdStartsService.#countOf(this.#sent, instanceId) +
          ColdStartsService.#countOf(this.#announced, instanceId),
      }))
      .filter(({ count }) => count > 0);

  handle(event: Event): void {
    if (event.kind === EventKind.PeerMessageReceived) {
      this.#onMessage(event.message);
    }
  }

  #onMessage(message: PeerMessage): void {
    switch (message.kind) {
      case PeerMessageKind.LoadChange:
        if (this.#isCold(message.instanceId)) {
          this.#add(this.#announced, message.instanceId, 1);
        }
        break;
      case PeerMessageKind.StartState:
        if (this.#isStarting()) {
          this.#hasAnswer ||= !message.isStarting;
          message.coldStarts.forEach((starts) => this.#recordReported(starts));
        }
        break;
      default:
    }
  }

  /** Counts up to the highest report, since each peer reports the requests of all gateways. */
  #recordReported({ instanceId, count }: TargetCount): void {
    const missing = count - ColdStartsService.#countOf(this.#reported, instanceId);
    if (missing > 0) {
      this.#add(this.#reported, instanceId, missing);
    }
  }

  #add(counters: RecentMap<SlidingCounter>, instanceId: string, count: number): void {
    const counter =
      counters.get(instanceId) ?? SlidingCounter.create(WINDOW_MS, this.runtime.nowMs);
    counter.add(count);
    counters.set(instanceId, counter);
  }

  static #countOf(counters: RecentMap<SlidingCounter>, instanceId: string): number {
    return counters.get(instanceId)?.count() ?? 0;
  }

  #isCold(instanceId: string): boolean {
    return this.#targets.coldMsLeft(instanceId) > 0;
  }

  #isStarting(): boolean {
    return this.runtime.nowMs() - this.#startedAtMs < WINDOW_MS;
  }
}

/**
 * Registers the service that limits requests to cold targets.
 *
 * @example
 * const services = [targetsRegistration({ runtime }), coldStartsRegistration({ runtime })];
 */
export const coldStartsRegistration = ({
  runtime,
}: ColdStartsOptions): Registration<ServiceName.ColdStarts> => ({
  name: ServiceName.ColdStarts,
  requires: [ServiceName.Members, ServiceName.Catalogue, ServiceName.Targets],
  create: (find) => {
    const service = ColdStartsService.create(runtime, find);
    const { mayStart, recordStart, recentStarts } = service;
    return createInstance(
      { mayStart, recordStart, recentStarts },
      {
        handle: (event) => {
          service.handle(event);
          return [];
        },
      },
    );
  },
});
