/** @module Requests in progress by target: this gateway's own and those that others report. */
import { createInstance } from '@ebonysill/kernel';
import type { RequestWork } from '@ebonysill/scheduling';
import { sendToPeer, setTimer } from './build-effects.js';
import {
  ServiceName,
  type AdmissionApi,
  type CopiesApi,
  type FindService,
  type MembersApi,
  type Registration,
  type ReturnsApi,
  type ThroughputApi,
} from './directory.js';
import type { Effect } from './effect.js';
import { EventKind, type Event, type PeerMessageEvent } from './event.js';
import LoadSum from './LoadSum.js';
import {
  PeerMessageKind,
  PeerRole,
  type LoadChangeMessage,
  type LoadMessage,
  type TargetCount,
} from './peer-message.js';
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

/** What is announced with a request that starts. */
export enum StartAnnouncement {
  /** The load of its target. */
  Target = 'target',
  /** The loads that have become less since the last message too. */
  TargetAndEnds = 'target-and-ends',
}

/** Loads in one announcement, so that it fits a datagram; the next broadcast reports the others. */
const MAX_ENDED = 16;

/** Options of the service; it uses the clock of `runtime`. */
export interface LoadsOptions {
  readonly runtime: Runtime;
  readonly startAnnouncement: StartAnnouncement;
}

/** Sums the load of each target over all gateways. */
class LoadsService {
  /** By instance identifier. */
  readonly #ownLoads = new Map<string, LoadSum>();

  /** Instance identifiers of targets whose load has become less since the last message. */
  readonly #endedIds = new Set<string>();

  readonly #peerTotals: PeerTotals;

  /** Empty when requests have been announced since. */
  #lastBroadcast = '';

  #lastBroadcastAtMs = Number.NEGATIVE_INFINITY;

  #changeCount = 0;

  readonly #members: MembersApi;

  readonly #admission: AdmissionApi;

  readonly #copies: CopiesApi;

  readonly #throughput: ThroughputApi;

  readonly #returns: ReturnsApi;

  private constructor(
    private readonly options: LoadsOptions,
    find: FindService,
  ) {
    this.#peerTotals = PeerTotals.create(options.runtime.nowMs, COUNT_EXPIRY_MS);
    this.#members = find(ServiceName.Members);
    this.#admission = find(ServiceName.Admission);
    this.#copies = find(ServiceName.Copies);
    this.#throughput = find(ServiceName.Throughput);
    this.#returns = find(ServiceName.Returns);
  }

  static create(options: LoadsOptions, find: FindService): LoadsService {
    return new LoadsService(options, find);
  }

  readonly recordStart = (instanceId: string, work?: RequestWork): readonly Effect[] => {
    const load = this.#ownLoads.get(instanceId) ?? LoadSum.create();
    load.addRequest(work);
    this.#ownLoads.set(instanceId, load);
    this.#changeCount += 1;
    this.#lastBroadcast = '';
    const message = {
      kind: PeerMessageKind.LoadChange as const,
      instanceId,
      ...load.toReport(),
      ...this.#takeEnded(instanceId),
    };
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) => sendToPeer(address, message));
  };

  readonly recordPromptRead = (instanceId: string, work: RequestWork): void => {
    this.#ownLoads.get(instanceId)?.removePrompt(work);
    this.#endedIds.add(instanceId);
    this.#changeCount += 1;
  };

  readonly recordEnd = (instanceId: string, work?: RequestWork): void => {
    const load = this.#ownLoads.get(instanceId);
    load?.removeRequest(work);
    this.#endedIds.add(instanceId);
    this.#changeCount += 1;
    if (load?.count === 0) {
      this.#ownLoads.delete(instanceId);
    }
  };

  readonly changeCount = (): number => this.#changeCount;

  readonly ownCountAt = (instanceId: string): number => this.#ownLoads.get(instanceId)?.count ?? 0;

  readonly workTokensAt = (instanceId: string, usualTokens: number): number =>
    (this.#ownLoads.get(instanceId)?.workTokens(usualTokens) ?? 0) +
    this.#peerTotals.workTokensAt(instanceId, usualTokens);

  readonly longCountAt = (instanceId: string): number =>
    (this.#ownLoads.get(instanceId)?.longCount ?? 0) + this.#peerTotals.longCountAt(instanceId);

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
      message.ended?.forEach((load) => this.#peerTotals.change(address, load));
    }
  }

  static scheduleBroadcast(): Effect {
    return setTimer(TimerKind.LoadBroadcast, TIMER_KEY, BROADCAST_INTERVAL_MS);
  }

  /** Loads to announce with a start at `startedId`. */
  #takeEnded(startedId: string): Pick<LoadChangeMessage, 'ended'> {
    if (this.options.startAnnouncement === StartAnnouncement.Target) {
      return {};
    }
    this.#endedIds.delete(startedId);
    const taken = [...this.#endedIds].slice(0, MAX_ENDED);
    taken.forEach((instanceId) => this.#endedIds.delete(instanceId));
    return taken.length === 0
      ? {}
      : { ended: taken.map((instanceId) => this.#reportOf(instanceId)) };
  }

  #reportOf(instanceId: string): TargetCount {
    return { instanceId, ...(this.#ownLoads.get(instanceId) ?? LoadSum.create()).toReport() };
  }

  /** Sends less often while no request is in progress and the last broadcast already said so. */
  #broadcast(): readonly Effect[] {
    this.#endedIds.clear();
    const counts = [...this.#ownLoads.keys()].map((instanceId) => this.#reportOf(instanceId));
    const refusals = this.#returns.takeNews();
    const text = JSON.stringify(counts);
    const nowMs = this.options.runtime.nowMs();
    const isRecent = nowMs - this.#lastBroadcastAtMs < IDLE_INTERVAL_MS;
    const hasNews = counts.length > 0 || refusals.length > 0 || text !== this.#lastBroadcast;
    if (!hasNews && isRecent) {
      return [];
    }
    this.#lastBroadcast = text;
    this.#lastBroadcastAtMs = nowMs;
    const message: LoadMessage = {
      kind: PeerMessageKind.Load,
      counts,
      passes: this.#admission.ownEstimates(),
      copyAgeMs: this.#copies.ownAgeMs(),
      rates: this.#throughput.ownRates(),
      ...(refusals.length === 0 ? {} : { refusals }),
    };
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) => sendToPeer(address, message));
  }
}

/**
 * Registers the service that sums loads.
 *
 * @example
 * const services = [membersRegistration(options), loadsRegistration({ runtime, startAnnouncement })];
 */
export const loadsRegistration = (options: LoadsOptions): Registration<ServiceName.Loads> => ({
  name: ServiceName.Loads,
  requires: [
    ServiceName.Members,
    ServiceName.Admission,
    ServiceName.Copies,
    ServiceName.Throughput,
    ServiceName.Returns,
  ],
  create: (find) => {
    const service = LoadsService.create(options, find);
    return createInstance(service, {
      start: () => [LoadsService.scheduleBroadcast()],
      handle: (event) => service.handle(event),
    });
  },
});
