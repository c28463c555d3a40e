/**
 * @module Requests that any gateway refused lately, so that their return is recognised.
 *
 * Gateways report their refusals to each other with their loads. A report that is lost makes the
 * return look like a new request.
 */
import { createInstance } from '@ebonysill/kernel';
import { ReturnKind } from '@ebonysill/scheduling';
import { ServiceName, type RefusedRequest, type Registration } from '../directory.js';
import { EventKind, type Event } from '../event.js';
import type { CallerRequest } from '../exchange-data.js';
import { returnDigestOf } from '../fingerprint.js';
import { MAX_REPORTED_REFUSALS, PeerMessageKind, type ReportedRefusal } from '../peer-message.js';
import RecentMap from '../RecentMap.js';
import type { Runtime } from '../runtime.js';

/** Refused requests that are remembered at most. */
const MAX_ENTRIES = 1_024;

/** Time by which the clocks of callers and the way may make a return look early. */
const EARLY_TOLERANCE_MS = 5;

/** Options of the service; it uses the clock of `runtime`. */
export interface ReturnsOptions {
  readonly runtime: Runtime;
}

interface Entry extends RefusedRequest {
  /** Whether its caller has come back since. */
  readonly hasReturned: boolean;
}

class ReturnsService {
  /** By digest of the request. */
  readonly #entries = RecentMap.create<Entry>(MAX_ENTRIES);

  /** Digests of the refusals that were not reported yet; the newest last. */
  #unreported: number[] = [];

  private constructor(private readonly nowMs: () => number) {}

  static create(nowMs: () => number): ReturnsService {
    return new ReturnsService(nowMs);
  }

  readonly find = (request: CallerRequest): RefusedRequest | undefined =>
    this.#entries.size === 0 ? undefined : this.#get(returnDigestOf(request));

  readonly takeReturn = (request: CallerRequest): ReturnKind => {
    if (this.#entries.size === 0) {
      return ReturnKind.New;
    }
    const digest = returnDigestOf(request);
    const entry = this.#get(digest);
    if (entry === undefined || entry.hasReturned) {
      return ReturnKind.New;
    }
    this.#entries.set(String(digest), { ...entry, hasReturned: true });
    return this.nowMs() + EARLY_TOLERANCE_MS >= entry.dueAtMs
      ? ReturnKind.AsTold
      : ReturnKind.Early;
  };

  readonly record = (request: CallerRequest, refused: RefusedRequest): void => {
    const digest = returnDigestOf(request);
    this.#entries.set(String(digest), { ...refused, hasReturned: false });
    this.#unreported = [...this.#unreported, digest].slice(-MAX_REPORTED_REFUSALS);
  };

  readonly dueCount = (service: string): number => {
    const nowMs = this.nowMs();
    return [...this.#entries.values()].filter(
      (entry) => entry.service === service && !entry.hasReturned && entry.dueAtMs > nowMs,
    ).length;
  };

  readonly takeNews = (): readonly ReportedRefusal[] => {
    const digests = [...new Set(this.#unreported)];
    this.#unreported = [];
    const nowMs = this.nowMs();
    return digests.flatMap((digest) => {
      const entry = this.#get(digest);
      return entry === undefined
        ? []
        : [
            {
              digest,
              localCount: entry.localCount,
              dueInMs: Math.round(entry.dueAtMs - nowMs),
              expiresInMs: Math.round(entry.expiresAtMs - nowMs),
              ...(entry.service === undefined ? {} : { service: entry.service }),
            },
          ];
    });
  };

  handle(event: Event): void {
    if (
      event.kind === EventKind.PeerMessageReceived &&
      event.message.kind === PeerMessageKind.Load
    ) {
      event.message.refusals?.forEach((refusal) => this.#onReported(refusal));
    }
  }

  /** A caller may have been refused here as well, and may have come back meanwhile. */
  #onReported({ digest, dueInMs, expiresInMs, ...refused }: ReportedRefusal): void {
    const known = this.#get(digest);
    const nowMs = this.nowMs();
    this.#entries.set(String(digest), {
      ...refused,
      localCount: Math.max(refused.localCount, known?.localCount ?? 0),
      dueAtMs: nowMs + dueInMs,
      expiresAtMs: nowMs + expiresInMs,
      hasReturned: false,
    });
  }

  #get(digest: number): Entry | undefined {
    const entry = this.#entries.get(String(digest));
    return entry !== undefined && entry.expiresAtMs > this.nowMs() ? entry : undefined;
  }
}

/**
 * Registers the service that remembers refused requests.
 *
 * @example
 * const services = [returnsRegistration({ runtime }), refusalsRegistration({ runtime })];
 */
export const returnsRegistration = ({
  runtime,
}: ReturnsOptions): Registration<ServiceName.Returns> => ({
  name: ServiceName.Returns,
  requires: [],
  create: () => {
    const service = ReturnsService.create(runtime.nowMs);
    const { find, takeReturn, record, dueCount, takeNews } = service;
    return createInstance(
      { find, takeReturn, record, dueCount, takeNews },
      {
        handle: (event) => {
          service.handle(event);
          return [];
        },
      },
    );
  },
});
