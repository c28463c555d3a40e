/** @module Requests in progress by target: this gateway's own, and those that other gateways told. */
import { createInstance } from '@ebonysill/kernel';
import { sendToPeer, setTimer } from './build-effects.js';
import { ServiceName, type FindService, type MembersApi, type Registration } from './directory.js';
import type { Effect } from './effect.js';
import { EventKind, type Event, type PeerMessageEvent } from './event.js';
import { PeerMessageKind, PeerRole } from './peer-message.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/** Time between two messages on all loads; they tell what has ended, which is less urgent. */
const SPREAD_INTERVAL_MS = 250;

/** Counts of a gateway that has been silent for this long are forgotten. */
const COUNT_EXPIRY_MS = 1_500;

const TIMER_KEY = 0;

interface PeerCounts {
  /** By instance identifier. */
  readonly counts: Map<string, number>;
  heardAtMs: number;
}

/** What the service is created from. */
export interface LoadsOptions {
  readonly runtime: Runtime;
}

/** Sums the load of targets. */
class LoadsService {
  readonly #own = new Map<string, number>();

  readonly #peers = new Map<string, PeerCounts>();

  #lastSent = '';

  readonly #members: MembersApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#members = find(ServiceName.Members);
  }

  static create(runtime: Runtime, find: FindService): LoadsService {
    return new LoadsService(runtime, find);
  }

  readonly started = (instanceId: string): readonly Effect[] => {
    const count = this.ownCountAt(instanceId) + 1;
    this.#own.set(instanceId, count);
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) =>
        sendToPeer(address, { kind: PeerMessageKind.LoadChange, instanceId, count }),
      );
  };

  readonly ended = (instanceId: string): void => {
    const left = this.ownCountAt(instanceId) - 1;
    if (left > 0) {
      this.#own.set(instanceId, left);
    } else {
      this.#own.delete(instanceId);
    }
  };

  readonly ownCountAt = (instanceId: string): number => this.#own.get(instanceId) ?? 0;

  readonly countAt = (instanceId: string): number => {
    const sinceMs = this.runtime.nowMs() - COUNT_EXPIRY_MS;
    let sum = this.ownCountAt(instanceId);
    this.#peers.forEach(({ counts, heardAtMs }) => {
      sum += heardAtMs > sinceMs ? (counts.get(instanceId) ?? 0) : 0;
    });
    return sum;
  };

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.TimerFired && event.timer === TimerKind.LoadSpread) {
      return [LoadsService.nextSpread(), ...this.#spread()];
    }
    if (event.kind === EventKind.PeerMessageReceived) {
      this.#hear(event);
    }
    return [];
  }

  #hear({ address, message }: PeerMessageEvent): void {
    if (message.kind === PeerMessageKind.Load) {
      const counts = new Map(message.counts.map(({ instanceId, count }) => [instanceId, count]));
      this.#peers.set(address, { counts, heardAtMs: this.runtime.nowMs() });
    }
    if (message.kind === PeerMessageKind.LoadChange) {
      const peer = this.#peers.get(address) ?? { counts: new Map<string, number>(), heardAtMs: 0 };
      peer.counts.set(message.instanceId, message.count);
      peer.heardAtMs = this.runtime.nowMs();
      this.#peers.set(address, peer);
    }
  }

  static nextSpread(): Effect {
    return setTimer(TimerKind.LoadSpread, TIMER_KEY, SPREAD_INTERVAL_MS);
  }

  /** Sends nothing while there is nothing to tell. */
  #spread(): readonly Effect[] {
    const counts = [...this.#own].map(([instanceId, count]) => ({ instanceId, count }));
    const text = JSON.stringify(counts);
    if (counts.length === 0 && text === this.#lastSent) {
      return [];
    }
    this.#lastSent = text;
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) => sendToPeer(address, { kind: PeerMessageKind.Load, counts }));
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
  requires: [ServiceName.Members],
  create: (find) => {
    const service = LoadsService.create(runtime, find);
    return createInstance(service, {
      start: () => [LoadsService.nextSpread()],
      handle: (event) => service.handle(event),
    });
  },
});
