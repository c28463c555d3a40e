/** @module Tracks requests that were in progress when targets crashed, and so may be the cause. */
import {
  EventKind,
  MessageKind,
  ServiceName,
  type CrashSuspicion,
  type Event,
  type Message,
  type Registration,
  type Runtime,
  type SuspectsApi,
} from '@ebonysill/core';
import { createInstance } from '@ebonysill/kernel';

/** A request is refused once it has been counted for this many crashes. */
export const REFUSED_CRASH_COUNT = 2;

/** A suspicion expires after this time without a further crash. */
const SUSPICION_TTL_MS = 600_000;

/** Number of suspicions kept; beyond it, the oldest is dropped. */
const MAX_SUSPICIONS = 1_024;

/** Number of suspicions in one message; the newest are sent. */
const MAX_REPORTED_SUSPICIONS = 16;

/** Options of the suspects service. */
export interface SuspectsOptions {
  readonly runtime: Runtime;
}

interface Suspicion {
  readonly crashCount: number;
  readonly recordedAtMs: number;
}

const suspicionsIn = (message: Message): readonly CrashSuspicion[] => {
  switch (message.kind) {
    case MessageKind.Heartbeat:
    case MessageKind.HeartbeatAck:
    case MessageKind.RunFailed:
      return message.suspicions ?? [];
    case MessageKind.Run:
      return message.crashCount > 0 ? [message] : [];
    default:
      return [];
  }
};

/** Counts crashes by request fingerprint. */
class SuspectsService {
  readonly #suspicions = new Map<string, Suspicion>();

  private constructor(private readonly runtime: Runtime) {}

  static create(options: SuspectsOptions): SuspectsService {
    return new SuspectsService(options.runtime);
  }

  readonly api: SuspectsApi = {
    crashCount: (fingerprint) => this.#crashCount(fingerprint),
    isRefused: (fingerprint) => this.#crashCount(fingerprint) >= REFUSED_CRASH_COUNT,
    recordCrash: (fingerprints) => this.#recordCrash(fingerprints),
    clear: (fingerprint) => {
      this.#suspicions.delete(fingerprint);
    },
    all: () => this.#all(),
  };

  handle(event: Event): readonly [] {
    if (event.kind === EventKind.LinkMessage) {
      suspicionsIn(event.message).forEach((reported) => this.#mergeReported(reported));
    }
    return [];
  }

  #crashCount(fingerprint: string): number {
    const suspicion = this.#suspicions.get(fingerprint);
    if (suspicion === undefined) {
      return 0;
    }
    if (this.runtime.nowMs() - suspicion.recordedAtMs > SUSPICION_TTL_MS) {
      this.#suspicions.delete(fingerprint);
      return 0;
    }
    return suspicion.crashCount;
  }

  /**
   * Counts the crash against the requests that were suspected already, if there are any, so that
   * requests that merely ran at the same time stay unsuspected; otherwise against all.
   */
  #recordCrash(fingerprints: readonly string[]): readonly CrashSuspicion[] {
    const alreadySuspected = fingerprints.filter(
      (fingerprint) => this.#crashCount(fingerprint) > 0,
    );
    const counted = alreadySuspected.length > 0 ? alreadySuspected : fingerprints;
    return [...new Set(counted)].map((fingerprint) => {
      const crashCount = this.#crashCount(fingerprint) + 1;
      this.#store(fingerprint, crashCount);
      return { fingerprint, crashCount };
    });
  }

  /** Adopts a suspicion reported by another process if its count is higher. */
  #mergeReported({ fingerprint, crashCount }: CrashSuspicion): void {
    if (crashCount > this.#crashCount(fingerprint)) {
      this.#store(fingerprint, crashCount);
    }
  }

  #store(fingerprint: string, crashCount: number): void {
    this.#suspicions.delete(fingerprint);
    this.#suspicions.set(fingerprint, { crashCount, recordedAtMs: this.runtime.nowMs() });
    if (this.#suspicions.size > MAX_SUSPICIONS) {
      const [oldest] = this.#suspicions.keys();
      this.#suspicions.delete(oldest as string);
    }
  }

  #all(): readonly CrashSuspicion[] {
    return [...this.#suspicions]
      .filter(([fingerprint]) => this.#crashCount(fingerprint) > 0)
      .slice(-MAX_REPORTED_SUSPICIONS)
      .map(([fingerprint, { crashCount }]) => ({ fingerprint, crashCount }));
  }
}

/**
 * Registers the suspects service.
 *
 * @example
 * suspectsRegistration({ runtime });
 */
export const suspectsRegistration = (
  options: SuspectsOptions,
): Registration<ServiceName.Suspects> => ({
  name: ServiceName.Suspects,
  requires: [],
  create: () => {
    const service = SuspectsService.create(options);
    return createInstance(service.api, { handle: (event) => service.handle(event) });
  },
});
