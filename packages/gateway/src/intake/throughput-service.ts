/** @module How fast places come free and answers arrive, from this gateway's calls and reports. */
import { createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type FindService,
  type GroupsApi,
  type Registration,
  type TargetsApi,
} from '../directory.js';
import { EventKind, type Event } from '../event.js';
import { PeerMessageKind, type PoolRate } from '../peer-message.js';
import type { Runtime } from '../runtime.js';
import SlidingCounter from '../SlidingCounter.js';
import RecentStarts from './RecentStarts.js';
import UsualTime from './UsualTime.js';

/** Window of the rates: single ends do not dominate it, and it follows a swing of some seconds. */
const RATE_WINDOW_MS = 2_000;

/** Rates of a gateway that reported nothing for this long are not counted. */
const REPORT_EXPIRY_MS = 1_500;

const MS_PER_SECOND = 1_000;

/** Options of the service; it uses the clock of `runtime`. */
export interface ThroughputOptions {
  readonly runtime: Runtime;
}

interface ReportedRates {
  readonly rates: readonly PoolRate[];
  readonly receivedAtMs: number;
}

class ThroughputService {
  /** By pool. */
  readonly #ends = new Map<string, SlidingCounter>();

  /** By pool. */
  readonly #heldTimes = new Map<string, UsualTime>();

  /** By route. */
  readonly #usualTimes = new Map<string, UsualTime>();

  /** By address of the gateway that reported. */
  readonly #reported = new Map<string, ReportedRates>();

  readonly #starts: RecentStarts;

  readonly #targets: TargetsApi;

  readonly #groups: GroupsApi;

  private constructor(
    private readonly nowMs: () => number,
    find: FindService,
  ) {
    this.#targets = find(ServiceName.Targets);
    this.#groups = find(ServiceName.Groups);
    this.#starts = RecentStarts.create(nowMs);
  }

  static create(nowMs: () => number, find: FindService): ThroughputService {
    return new ThroughputService(nowMs, find);
  }

  readonly recordStart = (service: string, organisation: string): void => {
    this.#starts.add(service, organisation);
  };

  readonly recordEnd = (pool: string, heldMs: number): void => {
    const held = this.#heldTimes.get(pool) ?? UsualTime.create();
    this.#heldTimes.set(pool, held);
    held.record(heldMs);
    const ends = this.#ends.get(pool) ?? SlidingCounter.create(RATE_WINDOW_MS, this.nowMs);
    this.#ends.set(pool, ends);
    ends.add();
  };

  readonly meanHeldMs = (pool: string): number | undefined => this.#heldTimes.get(pool)?.meanMs();

  readonly recordAnswer = (route: string, timeMs: number): void => {
    const usual = this.#usualTimes.get(route) ?? UsualTime.create();
    this.#usualTimes.set(route, usual);
    usual.record(timeMs);
  };

  readonly usualAnswerMs = (route: string): number | undefined =>
    this.#usualTimes.get(route)?.usualMs();

  readonly startsOf = (service: string, organisation: string): number =>
    this.#starts.countOf(service, organisation);

  readonly endsPerSecond = (pool: string): number => {
    const reported = this.#recentReports()
      .flatMap(({ rates }) => rates)
      .filter((rate) => rate.pool === pool);
    return reported.reduce((sum, rate) => sum + rate.endsPerSecond, this.#ownRate(pool));
  };

  readonly serviceEndsPerSecond = (service: string): number => {
    const pools = new Set(this.#targets.usable(service).map(this.#groups.poolOf));
    return [...pools].reduce((sum, pool) => sum + this.endsPerSecond(pool), 0);
  };

  readonly oldestReportMs = (): number => {
    const times = this.#recentReports().map(({ receivedAtMs }) => receivedAtMs);
    return times.length === 0 ? 0 : this.nowMs() - Math.min(...times);
  };

  readonly ownRates = (): readonly PoolRate[] =>
    [...this.#ends.keys()].flatMap((pool) => {
      const endsPerSecond = this.#ownRate(pool);
      return endsPerSecond > 0 ? [{ pool, endsPerSecond }] : [];
    });

  handle(event: Event): void {
    if (
      event.kind === EventKind.PeerMessageReceived &&
      event.message.kind === PeerMessageKind.Load
    ) {
      const { rates = [] } = event.message;
      this.#reported.set(event.address, { rates, receivedAtMs: this.nowMs() });
    }
  }

  #ownRate(pool: string): number {
    const count = this.#ends.get(pool)?.count() ?? 0;
    if (count === 0) {
      this.#ends.delete(pool);
    }
    return (count * MS_PER_SECOND) / RATE_WINDOW_MS;
  }

  #recentReports(): readonly ReportedRates[] {
    const sinceMs = this.nowMs() - REPORT_EXPIRY_MS;
    this.#reported.forEach(({ receivedAtMs }, address) => {
      if (receivedAtMs <= sinceMs) {
        this.#reported.delete(address);
      }
    });
    return [...this.#reported.values()];
  }
}

/**
 * Registers the service that measures throughput.
 *
 * @example
 * const services = [throughputRegistration({ runtime }), loadsRegistration({ runtime })];
 */
export const throughputRegistration = ({
  runtime,
}: ThroughputOptions): Registration<ServiceName.Throughput> => ({
  name: ServiceName.Throughput,
  requires: [ServiceName.Targets, ServiceName.Groups],
  create: (find) => {
    const service = ThroughputService.create(runtime.nowMs, find);
    const { recordStart, recordEnd, meanHeldMs, recordAnswer, usualAnswerMs } = service;
    const { startsOf, endsPerSecond, serviceEndsPerSecond, oldestReportMs, ownRates } = service;
    return createInstance(
      {
        recordStart,
        recordEnd,
        meanHeldMs,
        recordAnswer,
        usualAnswerMs,
        startsOf,
        endsPerSecond,
        serviceEndsPerSecond,
        oldestReportMs,
        ownRates,
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
