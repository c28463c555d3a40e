/** @module Requests in progress by target: this gateway's own and those that others report. */
import { createInstance } from '@ebonysill/kernel';
import { sendToPeer, setTimer } from './build-effects.js';
import {
  ServiceName,
  type AdmissionApi,
  type CopiesApi,
  type FindService,
  type MembersApi,
  type Registration,
} from './directory.js';
import type { Effect } from './effect.js';
import { EventKind, type Event, type PeerMessageEvent } from './event.js';
import { PeerMessageKind, PeerRole } from './peer-message.js';
import PeerTotals from './PeerTotals.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/** Interval of messages with all counts; they report ended requests, which is less urgent. */
const BROADCAST_INTERVAL_MS = 250;

/**
 * Interval of the messages of a gateway without requests; they tell the age of its copy of the store,
 * by which others decide whether they alone have lost the store.
 */
const IDLE_INTERVAL_MS = 1_000;

/** Counts of a gateway from which nothing was received for this long are ignored. */
const COUNT_EXPIRY_MS = 1_500;

const TIMER_KEY = 0;

/** Options of the service; it uses the clock of `runtime`. */
export interface LoadsOptions {
  readonly runtime: Runtime;
}

/** Sums the load of each target over all gateways. */
class LoadsService {
  readonly #ownCounts = new Map<string, number>();

  readonly #peerTotals: PeerTotals;

  #lastBroadcast = '';

  #lastBroadcastAtMs = Number.NEGATIVE_INFINITY;

  readonly #members: MembersApi;

  readonly #admission: AdmissionApi;

  readonly #copies: CopiesApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#peerTotals = PeerTotals.create(runtime.nowMs, COUNT_EXPIRY_MS);
    this.#members = find(ServiceName.Members);
    this.#admission = find(ServiceName.Admission);
    this.#copies = find(ServiceName.Copies);
  }

  static create(runtime: Runtime, find: FindService): LoadsService {
    return new LoadsService(runtime, find);
  }

  readonly recordStart = (instanceId: string): readonly Effect[] => {
    const count = this.ownCountAt(instanceId) + 1;
    this.#ownCounts.set(instanceId, count);
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) =>
        sendToPeer(address, { kind: PeerMessageKind.LoadChange, instanceId, count }),
      );
  };

  readonly recordEnd = (instanceId: string): void => {
    const left = this.ownCountAt(instanceId) - 1;
    if (left > 0) {
      this.#ownCounts.set(instanceId, left);
    } else {
      this.#ownCounts.delete(instanceId);
    }
  };

  readonly ownCountAt = (instanceId: string): number => this.#ownCounts.get(instanceId) ?? 0;

  readonly countAt = (instanceId: string): number =>
    this.ownCountAt(instanceId) + this.#peerTotals.countAt(instanceId);

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.TimerFired && event.timer === TimerKind.LoadBroadcast) {
      return [LoadsService.scheduleBroadcast(), ...this.#broadcast()];
    }
    if (event.kind === EventKind.PeerMessageReceived) {
      this.#onPeerMessage(event);
    }
    return [];
  }

  #onPeerMessage({ address, message }: PeerMessageEvent): void {
    if (message.kind === PeerMessageKind.Load) {
      this.#peerTotals.replace(address, message.counts);
    }
    if (message.kind === PeerMessageKind.LoadChange) {
      this.#peerTotals.change(address, message);
    }
  }

  static scheduleBroadcast(): Effect {
    return setTimer(TimerKind.LoadBroadcast, TIMER_KEY, BROADCAST_INTERVAL_MS);
  }

  /** Sends less often while no request is in progress and the last broadcast already said so. */
  #broadcast(): readonly Effect[] {
    const counts = [...this.#ownCounts].map(([instanceId, count]) => ({ instanceId, count }));
    const passes = this.#admission.ownEstimates();
    const copyAgeMs = this.#copies.ownAgeMs();
    const text = JSON.stringify(counts);
    const nowMs = this.runtime.nowMs();
    const isRecent = nowMs - this.#lastBroadcastAtMs < IDLE_INTERVAL_MS;
    if (counts.length === 0 && text === this.#lastBroadcast && isRecent) {
      return [];
    }
    this.#lastBroadcast = text;
    this.#lastBroadcastAtMs = nowMs;
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) =>
        sendToPeer(address, { kind: PeerMessageKind.Load, counts, passes, copyAgeMs }),
      );
  }
}

/**
 * Registers the service that sums loads.
 *
 * @example
 * const services = [membersRegistration(options), loadsRegistration({ runtime })];
 */
export const loadsRegistration = ({ runtime }: LoadsOptions): Registration<ServiceName.Loads> => ({
  name: ServiceName.Loads,
  requires: [ServiceName.Members, ServiceName.Admission, ServiceName.Copies],
  create: (find) => {
    const service = LoadsService.create(runtime, find);
    return createInstance(service, {
      start: () => [LoadsService.scheduleBroadcast()],
      handle: (event) => service.handle(event),
    });
  },
});
