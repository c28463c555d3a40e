/** @module Requests in progress by target: this gateway's own, and those that other gateways told. */
import { createInstance } from '@ebonysill/kernel';
import { sendToPeer, setTimer } from './build-effects.js';
import { ServiceName, type FindService, type MembersApi, type Registration } from './directory.js';
import type { Effect } from './effect.js';
import { EventKind, type Event } from './event.js';
import { PeerMessageKind, PeerRole, type TargetCount } from './peer-message.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/** Time between two messages on load; a quarter of a second is a few passes of a group. */
const SPREAD_INTERVAL_MS = 250;

/** Counts of a gateway that has been silent for this long are forgotten. */
const COUNT_EXPIRY_MS = 1_500;

const TIMER_KEY = 0;

interface PeerCounts {
  readonly counts: readonly TargetCount[];
  readonly heardAtMs: number;
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

  readonly started = (instanceId: string): void => {
    this.#own.set(instanceId, this.ownCountAt(instanceId) + 1);
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
    return [...this.#peers.values()]
      .filter(({ heardAtMs }) => heardAtMs > sinceMs)
      .flatMap(({ counts }) => counts.filter((one) => one.instanceId === instanceId))
      .reduce((sum, { count }) => sum + count, this.ownCountAt(instanceId));
  };

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.TimerFired && event.timer === TimerKind.LoadSpread) {
      return [LoadsService.nextSpread(), ...this.#spread()];
    }
    if (
      event.kind === EventKind.PeerMessageReceived &&
      event.message.kind === PeerMessageKind.Load
    ) {
      const { counts } = event.message;
      this.#peers.set(event.address, { counts, heardAtMs: this.runtime.nowMs() });
    }
    return [];
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
