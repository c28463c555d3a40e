/**
 * @module Refuses requests that crash the targets that run them.
 *
 * A caller may retry such a request many times, at any gateway. A target that interrupted a request
 * and then accepts no connections is treated as crashed. Gateways report to each other which
 * requests it had interrupted, and a request that crashed several targets is refused for a while.
 */
import { createInstance } from '@ebonysill/kernel';
import { log, sendToPeer } from './build-effects.js';
import { ServiceName, type FindService, type MembersApi, type Registration } from './directory.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, type Event } from './event.js';
import type { CallerRequest } from './exchange-data.js';
import { fingerprintOf } from './fingerprint.js';
import { PeerMessageKind, PeerRole } from './peer-message.js';
import type { Runtime } from './runtime.js';

/** A failed connection this soon after an interrupted request means that the target crashed. */
const CRASH_WINDOW_MS = 2_000;

/**
 * Crashed targets from which on a request is refused. Operators allow three more crashes after the
 * third.
 */
const MAX_CRASHES = 3;

/** Crashes older than this are ignored, so that no request is refused permanently. */
const CRASH_EXPIRY_MS = 120_000;

/** Maximum number of entries in each map; the oldest entry is evicted. */
const MAX_TRACKED_ENTRIES = 1_024;

interface InterruptedRequest {
  readonly fingerprint: string;
  readonly atMs: number;
}

interface Crashes {
  /** Time of the last crash, by instance identifier. */
  readonly instances: Map<string, number>;
}

/** Options of the service; it uses the clock of `runtime`. */
export interface SuspectsOptions {
  readonly runtime: Runtime;
}

/** Counts crashes by request. */
class SuspectsService {
  /** By instance identifier: requests that the target interrupted lately. */
  readonly #interruptedRequests = new Map<string, InterruptedRequest[]>();

  /** By fingerprint. */
  readonly #crashes = new Map<string, Crashes>();

  readonly #members: MembersApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#members = find(ServiceName.Members);
  }

  static create(runtime: Runtime, find: FindService): SuspectsService {
    return new SuspectsService(runtime, find);
  }

  readonly recordInterrupted = (request: CallerRequest, instanceId: string): void => {
    const nowMs = this.runtime.nowMs();
    const recent = (this.#interruptedRequests.get(instanceId) ?? []).filter(
      ({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS,
    );
    this.#interruptedRequests.delete(instanceId);
    this.#interruptedRequests.set(instanceId, [
      ...recent,
      { fingerprint: fingerprintOf(request), atMs: nowMs },
    ]);
    SuspectsService.#evictOldest(this.#interruptedRequests);
  };

  readonly recordUnreachable = (instanceId: string): readonly Effect[] => {
    const nowMs = this.runtime.nowMs();
    const requests = this.#interruptedRequests.get(instanceId) ?? [];
    this.#interruptedRequests.delete(instanceId);
    return requests
      .filter(({ atMs }) => nowMs - atMs < CRASH_WINDOW_MS)
      .flatMap(({ fingerprint }) => [
        ...this.#recordCrash(fingerprint, instanceId),
        ...this.#members
          .others(PeerRole.Gateway)
          .map(({ address }) =>
            sendToPeer(address, { kind: PeerMessageKind.CrashReport, fingerprint, instanceId }),
          ),
      ]);
  };

  readonly isSuspect = (request: CallerRequest): boolean =>
    this.#crashes.size > 0 && this.#countOf(fingerprintOf(request)) >= MAX_CRASHES;

  handle(event: Event): readonly Effect[] {
    return event.kind === EventKind.PeerMessageReceived &&
      event.message.kind === PeerMessageKind.CrashReport
      ? this.#recordCrash(event.message.fingerprint, event.message.instanceId)
      : [];
  }

  #recordCrash(fingerprint: string, instanceId: string): readonly Effect[] {
    const crashes = this.#crashes.get(fingerprint) ?? { instances: new Map<string, number>() };
    crashes.instances.set(instanceId, this.runtime.nowMs());
    this.#crashes.delete(fingerprint);
    this.#crashes.set(fingerprint, crashes);
    SuspectsService.#evictOldest(this.#crashes);
    const count = this.#countOf(fingerprint);
    return [
      log(LogLevel.Warn, LogTopic.CrashSuspected, { instanceId, count, detail: fingerprint }),
    ];
  }

  #countOf(fingerprint: string): number {
    const sinceMs = this.runtime.nowMs() - CRASH_EXPIRY_MS;
    const times = this.#crashes.get(fingerprint)?.instances.values() ?? [];
    return [...times].filter((atMs) => atMs > sinceMs).length;
  }

  static #evictOldest(entries: Map<string, unknown>): void {
    const [oldest] = entries.keys();
    if (entries.size > MAX_TRACKED_ENTRIES && oldest !== undefined) {
      entries.delete(oldest);
    }
  }
}

/**
 * Registers the service that refuses requests that crash targets.
 *
 * @example
 * const services = [membersRegistration(options), suspectsRegistration({ runtime })];
 */
export const suspectsRegistration = ({
  runtime,
}: SuspectsOptions): Registration<ServiceName.Suspects> => ({
  name: ServiceName.Suspects,
  requires: [ServiceName.Members],
  create: (find) => {
    const service = SuspectsService.create(runtime, find);
    return createInstance(
      {
        recordInterrupted: service.recordInterrupted,
        recordUnreachable: service.recordUnreachable,
        isSuspect: service.isSuspect,
      },
      { handle: (event) => service.handle(event) },
    );
  },
});
