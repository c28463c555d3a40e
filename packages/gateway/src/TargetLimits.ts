/** @module Limits that targets name for the requests of all gateways together. */
import { ageMsOf, type Moment } from './moment.js';
import type { ReportedLimit } from './peer-message.js';
import RateBucket from './RateBucket.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';

/** Maximum number of targets that are remembered. */
const MAX_TARGETS = 1_024;

/** Lower limits count as this one: without any request, nobody would learn of the limit's end. */
const MIN_REQUESTS_PER_SECOND = 0.2;

/** The end of a limit is reported for this long. */
const REPORT_END_MS = 5_000;

/** What a target said last of its limit. */
interface KnownLimit {
  /** Absent when the target names no limit any more. */
  readonly maxRequestsPerSecond?: number;
  readonly bucket?: RateBucket;
  /** When the target named another limit, or none. */
  readonly changedAtMs: number;
  /** When the target said so last: the latest such moment of a limit, the earliest of none. */
  readonly statedAtMs: number;
  /** Tokens that the bucket must hold before this gateway's next request. */
  readonly neededTokens: number;
}

/** A target names another limit than before, or none. */
export interface LimitChange {
  readonly maxRequestsPerSecond?: number;
  /** How long the limit before lasted; absent for the first one. */
  readonly durationMs?: number;
}

/** Counts the requests of all gateways against the limits of targets. */
export default class TargetLimits {
  /** By instance identifier; targets that never named a limit are missing. */
  readonly #known = RecentMap.create<KnownLimit>(MAX_TARGETS);

  private constructor(private readonly runtime: Runtime) {}

  /**
   * Creates limits of no target.
   *
   * @example
   * const limits = TargetLimits.create(runtime);
   */
  static create(runtime: Runtime): TargetLimits {
    return new TargetLimits(runtime);
  }

  /**
   * Records what a target said in the answer to a call that began at `askedAt`; returns the change if
   * it said something else before. An answer may have waited while this process stood still, so it
   * ends or raises a limit only if it was asked for after that limit was stated.
   */
  record(
    instanceId: string,
    maxRequestsPerSecond: number | undefined,
    askedAt: Moment,
  ): LimitChange | undefined {
    const askedAtMs = this.runtime.nowMs() - ageMsOf(this.runtime, askedAt);
    const known = this.#known.get(instanceId);
    const isLooser = (maxRequestsPerSecond ?? Infinity) > (known?.maxRequestsPerSecond ?? Infinity);
    if (isLooser) {
      return askedAtMs < (known?.statedAtMs ?? -Infinity)
        ? undefined
        : this.#record(instanceId, maxRequestsPerSecond, askedAtMs);
    }
    return this.#record(instanceId, maxRequestsPerSecond, this.runtime.nowMs());
  }

  /** Records what a target said to another gateway, unless something later is known. */
  merge({ instanceId, ageMs, maxRequestsPerSecond }: ReportedLimit): LimitChange | undefined {
    const statedAtMs = this.runtime.nowMs() - ageMs;
    return statedAtMs > (this.#known.get(instanceId)?.statedAtMs ?? -Infinity)
      ? this.#record(instanceId, maxRequestsPerSecond, statedAtMs)
      : undefined;
  }

  /** Counts a request that this gateway sends now. */
  takeOwn(instanceId: string): void {
    this.take(instanceId);
    const limit = this.#known.get(instanceId);
    if (limit !== undefined) {
      this.#known.set(instanceId, { ...limit, neededTokens: this.#drawNeededTokens() });
    }
  }

  /** Counts a request that another gateway has sent. */
  take(instanceId: string): void {
    this.#known.get(instanceId)?.bucket?.take();
  }

  /** Time until this gateway may send a request; 0 when it may now. */
  msUntilNext(instanceId: string): number {
    const limit = this.#known.get(instanceId);
    return limit?.bucket?.msUntil(limit.neededTokens) ?? 0;
  }

  /** What is known of one target, for other gateways. */
  reportOf(instanceId: string): ReportedLimit {
    const { maxRequestsPerSecond, statedAtMs = 0 } = this.#known.get(instanceId) ?? {};
    return {
      instanceId,
      ageMs: Math.round(this.runtime.nowMs() - statedAtMs),
      ...(maxRequestsPerSecond === undefined ? {} : { maxRequestsPerSecond }),
    };
  }

  /** Limits in force, and those that ended lately. */
  reports(): readonly ReportedLimit[] {
    const nowMs = this.runtime.nowMs();
    return [...this.#known.entries()]
      .filter(
        ([, { maxRequestsPerSecond, changedAtMs }]) =>
          maxRequestsPerSecond !== undefined || nowMs - changedAtMs < REPORT_END_MS,
      )
      .map(([instanceId]) => this.reportOf(instanceId));
  }

  #record(
    instanceId: string,
    maxRequestsPerSecond: number | undefined,
    statedAtMs: number,
  ): LimitChange | undefined {
    const known = this.#known.get(instanceId);
    if (known?.maxRequestsPerSecond === maxRequestsPerSecond) {
      if (known !== undefined) {
        const latestMs = Math.max(statedAtMs, known.statedAtMs);
        this.#known.set(instanceId, { ...known, statedAtMs: latestMs });
      }
      return undefined;
    }
    const nowMs = this.runtime.nowMs();
    const limit =
      maxRequestsPerSecond === undefined
        ? {}
        : { maxRequestsPerSecond, bucket: this.#createBucket(maxRequestsPerSecond) };
    const neededTokens = this.#drawNeededTokens();
    this.#known.set(instanceId, { ...limit, changedAtMs: nowMs, statedAtMs, neededTokens });
    return {
      ...(maxRequestsPerSecond === undefined ? {} : { maxRequestsPerSecond }),
      ...(known === undefined ? {} : { durationMs: Math.round(nowMs - known.changedAtMs) }),
    };
  }

  #createBucket(maxRequestsPerSecond: number): RateBucket {
    const ratePerSecond = Math.max(MIN_REQUESTS_PER_SECOND, maxRequestsPerSecond);
    return RateBucket.create(ratePerSecond, this.runtime.nowMs);
  }

  /** Differs between gateways, so that they do not all use a token before they hear of each other. */
  #drawNeededTokens(): number {
    return 1 + this.runtime.random();
  }
}
