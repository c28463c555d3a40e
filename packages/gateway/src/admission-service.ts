/**
 * @module Measures the passes of each group of targets, and limits the streams that run there.
 *
 * Every gateway measures passes by the pauses of its own streams and reports them to the others, so
 * that a gateway without streams in a group knows the group's passes too.
 */
import { createInstance } from '@ebonysill/kernel';
import type { DecideLongPassShare } from '@ebonysill/scheduling';
import { arePassesLong, type DecideAdmission } from './decide-admission.js';
import {
  ServiceName,
  type AdmissionRequest,
  type AdmissionResult,
  type Registration,
} from './directory.js';
import { EventKind, type Event } from './event.js';
import PassMeter from './PassMeter.js';
import { PeerMessageKind, type PassEstimate } from './peer-message.js';
import type { Runtime } from './runtime.js';

/** Retry delay of a refused caller: about the time in which the first running streams end. */
const RETRY_AFTER_MS = 200;

/** A stream without an event for this long is not counted: its connection may have gone silent. */
const SILENT_STREAM_MS = 1_000;

/** An estimate of another gateway is used for this long; it is reported four times a second. */
const PEER_ESTIMATE_EXPIRY_MS = 1_000;

/** Options of the service; it uses the clock of `runtime`. */
export interface AdmissionOptions {
  readonly runtime: Runtime;
  readonly decide: DecideAdmission;
  readonly decideLongPassShare: DecideLongPassShare;
}

interface PeerEstimate {
  readonly passMs: number;
  readonly receivedAtMs: number;
}

/** What this gateway knows of one pool of targets. */
interface Pool {
  /** By exchange: time of the last event of its stream, or of its start. */
  readonly lastSignsMs: Map<number, number>;
  readonly meter: PassMeter;
  /** Since when passes have been long; undefined while they are not, or are unknown. */
  longSinceMs: number | undefined;
  /** When passes were long for the last time. */
  longAtMs: number;
  /** By number of more urgent levels: when a stream started for the last time. */
  readonly startedAtMs: Map<number, number>;
  /** Events of all streams of this gateway so far. */
  eventCount: number;
  /** By address of the gateway that measured. */
  readonly peerEstimates: Map<string, PeerEstimate>;
}

/** Admits streams separately for each pool of targets. */
class AdmissionService {
  readonly #pools = new Map<string, Pool>();

  private constructor(private readonly options: AdmissionOptions) {}

  static create(options: AdmissionOptions): AdmissionService {
    return new AdmissionService(options);
  }

  readonly evaluate = (request: AdmissionRequest): AdmissionResult => {
    const { pool, moreUrgentLevels, runningCount, placeCount } = request;
    const { maxPauseMs } = request.route;
    const passMs = this.passMsOf(pool);
    const longForMs = this.#longForMs(pool, passMs, maxPauseMs);
    const verdict = this.options.decide({
      maxPauseMs,
      longPassShare: this.#longPassShareOf(pool, moreUrgentLevels),
      passMs,
      longForMs,
      ownCount: this.#activeCountOf(pool),
      runningCount,
      placeCount,
    });
    return { verdict, retryAfterMs: RETRY_AFTER_MS, passMs, runningCount };
  };

  readonly passMsOf = (name: string): number => {
    const pool = this.#pools.get(name);
    if (pool === undefined) {
      return 0;
    }
    const ownMs = pool.meter.estimateMs();
    return ownMs > 0 ? ownMs : this.#peerPassMs(pool);
  };

  readonly eventCountOf = (pool: string): number => this.#pools.get(pool)?.eventCount ?? 0;

  readonly ownEstimates = (): readonly PassEstimate[] =>
    [...this.#pools].flatMap(([pool, { meter }]) => {
      const passMs = Math.round(meter.estimateMs());
      return passMs > 0 ? [{ pool, passMs }] : [];
    });

  readonly recordStart = (pool: string, exchangeId: number, moreUrgentLevels: number): void => {
    const nowMs = this.options.runtime.nowMs();
    const known = this.#poolOf(pool);
    known.lastSignsMs.set(exchangeId, nowMs);
    known.startedAtMs.set(moreUrgentLevels, nowMs);
  };

  readonly recordEnd = (pool: string, exchangeId: number): void => {
    this.#pools.get(pool)?.lastSignsMs.delete(exchangeId);
  };

  readonly recordEvent = (pool: string, exchangeId: number, pauseMs?: number): void => {
    const known = this.#poolOf(pool);
    known.lastSignsMs.set(exchangeId, this.options.runtime.nowMs());
    known.eventCount += 1;
    if (pauseMs !== undefined) {
      known.meter.record(pauseMs);
    }
  };

  handle(event: Event): void {
    if (
      event.kind === EventKind.PeerMessageReceived &&
      event.message.kind === PeerMessageKind.Load
    ) {
      const receivedAtMs = this.options.runtime.nowMs();
      event.message.passes.forEach(({ pool, passMs }) =>
        this.#poolOf(pool).peerEstimates.set(event.address, { passMs, receivedAtMs }),
      );
    }
  }

  #poolOf(name: string): Pool {
    const known = this.#pools.get(name);
    if (known !== undefined) {
      return known;
    }
    const pool: Pool = {
      lastSignsMs: new Map(),
      meter: PassMeter.create(this.options.runtime.nowMs),
      longSinceMs: undefined,
      longAtMs: Number.NEGATIVE_INFINITY,
      startedAtMs: new Map(),
      eventCount: 0,
      peerEstimates: new Map(),
    };
    this.#pools.set(name, pool);
    return pool;
  }

  /** Time for which passes have been long; a pass that is unknown ends no such time. */
  #longForMs(name: string, passMs: number, maxPauseMs: number): number {
    const pool = this.#poolOf(name);
    const nowMs = this.options.runtime.nowMs();
    const longPassShare = this.#longPassShareOf(name, 0);
    if (arePassesLong({ passMs, maxPauseMs, longPassShare })) {
      pool.longSinceMs ??= nowMs;
      pool.longAtMs = nowMs;
    } else if (passMs > 0) {
      pool.longSinceMs = undefined;
    }
    return pool.longSinceMs === undefined ? 0 : nowMs - pool.longSinceMs;
  }

  #longPassShareOf(name: string, moreUrgentLevels: number): number {
    const { longAtMs, startedAtMs } = this.#poolOf(name);
    const nowMs = this.options.runtime.nowMs();
    return this.options.decideLongPassShare({
      moreUrgentLevels,
      sinceLongMs: nowMs - longAtMs,
      sinceOwnStartMs: nowMs - (startedAtMs.get(moreUrgentLevels) ?? Number.NEGATIVE_INFINITY),
    });
  }

  #activeCountOf(pool: string): number {
    const sinceMs = this.options.runtime.nowMs() - SILENT_STREAM_MS;
    return [...(this.#pools.get(pool)?.lastSignsMs.values() ?? [])].filter((atMs) => atMs > sinceMs)
      .length;
  }

  /** Mean of the other gateways' estimates; 0 when none is recent. */
  #peerPassMs({ peerEstimates }: Pool): number {
    const sinceMs = this.options.runtime.nowMs() - PEER_ESTIMATE_EXPIRY_MS;
    const recent = [...peerEstimates.values()].filter(({ receivedAtMs }) => receivedAtMs > sinceMs);
    return recent.length === 0
      ? 0
      : recent.reduce((sum, { passMs }) => sum + passMs, 0) / recent.length;
  }
}

/**
 * Registers the service that limits streams.
 *
 * @example
 * admissionRegistration({ runtime, decide: admitByPass, decideLongPassShare: longPassShareOf });
 */
export const admissionRegistration = (
  options: AdmissionOptions,
): Registration<ServiceName.Admission> => ({
  name: ServiceName.Admission,
  requires: [],
  create: () => {
    const service = AdmissionService.create(options);
    const { evaluate, passMsOf, eventCountOf, ownEstimates } = service;
    const { recordStart, recordEnd, recordEvent } = service;
    return createInstance(
      {
        evaluate,
        passMsOf,
        eventCountOf,
        ownEstimates,
        recordStart,
        recordEnd,
        recordEvent,
      },
      {
        handle: (event) => {
          service.handle(event);
          return [];
        },
      },
    );
  },
});
