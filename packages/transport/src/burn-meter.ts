/** @module Counts ended requests by minute, for the report on error-budget burn. */
import { LogTopic, Outcome, Reason, type LogEffect } from '@ebonysill/core';
import { build, type Histogram } from 'hdr-histogram-js';

/** Number of requests that were not served for one reason. */
export interface ReasonCount {
  readonly reason: Reason;
  readonly count: number;
}

/** Request counts of one service in one window. */
export interface BurnWindow {
  readonly windowMinutes: number;
  readonly totalCount: number;
  /** Requests that were not served for a reason other than `CALLER_REASONS`. */
  readonly badCount: number;
  readonly badByReason: readonly ReasonCount[];
}

/** Request counts and durations of one service in one process. */
export interface ServiceBurn {
  readonly service: string;
  readonly windows: readonly BurnWindow[];
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface MinuteCount {
  readonly minute: number;
  totalCount: number;
  readonly bad: Map<Reason, number>;
}

interface ServiceCounts {
  readonly minutes: MinuteCount[];
  readonly durations: Histogram;
}

/** Windows of the report, shortest first. */
export const BURN_WINDOWS_MINUTES: readonly number[] = [5, 60, 360];

const MINUTE_MS = 60_000;

/** Minute counts kept per service; as many as the longest window has minutes. */
const MAX_MINUTES = 360;

const MAX_SERVICES = 64;

/** Upper bound of recorded durations; longer ones count as this long. */
const MAX_DURATION_MS = 3_600_000;

/** Reasons caused by the caller or its limit; they do not spend the error budget. */
const CALLER_REASONS: readonly Reason[] = [
  Reason.MalformedRequest,
  Reason.TooLarge,
  Reason.UnknownOrganisation,
  Reason.UnknownService,
  Reason.KeyMissing,
  Reason.KeyMalformed,
  Reason.KeyForged,
  Reason.KeySpent,
  Reason.OrganisationLimit,
  Reason.CallerCancelled,
  Reason.CrashSuspect,
];

const isBad = (outcome: Outcome | undefined, reason: Reason | undefined): reason is Reason =>
  outcome !== Outcome.Done && reason !== undefined && !CALLER_REASONS.includes(reason);

const createCounts = (): ServiceCounts => ({
  minutes: [],
  durations: build({ highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: 2 }),
});

/** Counts ended requests by service and minute. */
export class BurnMeter {
  readonly #services = new Map<string, ServiceCounts>();

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates a meter without counts.
   *
   * @example
   * const meter = BurnMeter.create(runtime.nowMs);
   */
  static create(nowMs: () => number): BurnMeter {
    return new BurnMeter(nowMs);
  }

  /** Counts a `RequestEnded` line; ignores other lines, and services beyond `MAX_SERVICES`. */
  record({ topic, fields }: LogEffect): void {
    const { service, outcome, reason, durationMs } = fields;
    if (topic !== LogTopic.RequestEnded || service === undefined) {
      return;
    }
    const counts = this.#countsOf(service);
    if (counts === undefined) {
      return;
    }
    const minute = this.#minuteOf(counts);
    minute.totalCount += 1;
    if (isBad(outcome, reason)) {
      minute.bad.set(reason, (minute.bad.get(reason) ?? 0) + 1);
    }
    counts.durations.recordValue(Math.min(Math.round(durationMs ?? 0), MAX_DURATION_MS));
  }

  /** Returns the counts by service; percentiles cover all requests since the start. */
  report(): readonly ServiceBurn[] {
    return [...this.#services].map(([service, { minutes, durations }]) => ({
      service,
      windows: BURN_WINDOWS_MINUTES.map((windowMinutes) =>
        this.#summariseWindow(minutes, windowMinutes),
      ),
      p50Ms: durations.getValueAtPercentile(50),
      p99Ms: durations.getValueAtPercentile(99),
    }));
  }

  #countsOf(service: string): ServiceCounts | undefined {
    const known = this.#services.get(service);
    if (known !== undefined || this.#services.size >= MAX_SERVICES) {
      return known;
    }
    const counts = createCounts();
    this.#services.set(service, counts);
    return counts;
  }

  #minuteOf({ minutes }: ServiceCounts): MinuteCount {
    const minute = this.#currentMinute();
    const last = minutes.at(-1);
    if (last?.minute === minute) {
      return last;
    }
    const next: MinuteCount = { minute, totalCount: 0, bad: new Map() };
    minutes.push(next);
    minutes.splice(0, Math.max(minutes.length - MAX_MINUTES, 0));
    return next;
  }

  #summariseWindow(minutes: readonly MinuteCount[], windowMinutes: number): BurnWindow {
    const from = this.#currentMinute() - windowMinutes;
    const inWindow = minutes.filter(({ minute }) => minute > from);
    const byReason = new Map<Reason, number>();
    inWindow.forEach(({ bad }) =>
      bad.forEach((count, reason) => byReason.set(reason, (byReason.get(reason) ?? 0) + count)),
    );
    const badByReason = [...byReason].map(([reason, count]) => ({ reason, count }));
    return {
      windowMinutes,
      totalCount: inWindow.reduce((sum, { totalCount }) => sum + totalCount, 0),
      badCount: badByReason.reduce((sum, { count }) => sum + count, 0),
      badByReason,
    };
  }

  #currentMinute(): number {
    return Math.floor(this.nowMs() / MINUTE_MS);
  }
}
