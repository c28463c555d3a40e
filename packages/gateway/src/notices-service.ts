/**
 * @module Keeps what targets say of themselves in the heads of their answers.
 *
 * A limit on requests applies to all gateways together. Gateways tell each other the limits that
 * targets name, and each counts the requests of all gateways against them: every start of a request
 * is announced to all gateways.
 */
import { createInstance } from '@ebonysill/kernel';
import { log, sendToPeer, setTimer } from './build-effects.js';
import { ServiceName, type FindService, type MembersApi, type Registration } from './directory.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, type Event, type PeerMessageEvent } from './event.js';
import type { TargetHead } from './exchange-data.js';
import { PeerMessageKind, PeerRole, type ReportedLimit } from './peer-message.js';
import type { PublishedTarget } from './published.js';
import RateBucket from './RateBucket.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/** Maximum number of targets that are remembered. */
const MAX_TARGETS = 1_024;

/** Lower limits count as this one: without any request, nobody would learn of the limit's end. */
const MIN_REQUESTS_PER_SECOND = 0.2;

/** Interval at which limits are reported to gateways that may not know them. */
const REPORT_INTERVAL_MS = 500;

/** Gateways that each periodic report is sent to, chosen at random. */
const REPORT_RECIPIENTS = 2;

/** Limits in one report, so that it fits a datagram. */
const MAX_REPORTED_LIMITS = 16;

/** The end of a limit is reported for this long. */
const REPORT_END_MS = 5_000;

const TIMER_KEY = 0;

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface NoticesOptions {
  readonly runtime: Runtime;
}

/** What a target said last of its limit. */
interface KnownLimit {
  /** Absent when the target names no limit any more. */
  readonly maxRequestsPerSecond?: number;
  readonly bucket?: RateBucket;
  /** When the target named another limit, or none. */
  readonly changedAtMs: number;
  /** When the target said so last. */
  readonly statedAtMs: number;
  /** Tokens that the bucket must hold before this gateway's next request. */
  readonly neededTokens: number;
}

const send = (addresses: readonly string[], limits: readonly ReportedLimit[]): readonly Effect[] =>
  addresses.map((address) => sendToPeer(address, { kind: PeerMessageKind.TargetLimits, limits }));

class NoticesService {
  /** By instance identifier; targets that never named a limit are missing. */
  readonly #limits = RecentMap.create<KnownLimit>(MAX_TARGETS);

  /** Instance identifiers of targets with a field that could not be decoded. */
  readonly #invalidIds = RecentMap.create<true>(MAX_TARGETS);

  readonly #members: MembersApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#members = find(ServiceName.Members);
  }

  static create(runtime: Runtime, find: FindService): NoticesService {
    return new NoticesService(runtime, find);
  }

  readonly recordHead = (target: PublishedTarget, head: TargetHead): readonly Effect[] => {
    const { invalidFields, maxRequestsPerSecond } = head.notice;
    const isReliable = head.isSigned || head.isNotRun;
    return [
      ...this.#logInvalid(target, invalidFields),
      ...(isReliable ? this.#recordOwn(target.instanceId, maxRequestsPerSecond) : []),
    ];
  };

  readonly blockedForMs = ({ instanceId }: PublishedTarget): number => {
    const limit = this.#limits.get(instanceId);
    return limit?.bucket?.msUntil(limit.neededTokens) ?? 0;
  };

  readonly recordStart = ({ instanceId }: PublishedTarget): void => {
    const limit = this.#limits.get(instanceId);
    if (limit?.bucket !== undefined) {
      limit.bucket.take();
      this.#limits.set(instanceId, { ...limit, neededTokens: this.#drawNeededTokens() });
    }
  };

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.TimerFired && event.timer === TimerKind.LimitReport) {
      return [NoticesService.scheduleReport(), ...this.#report()];
    }
    return event.kind === EventKind.PeerMessageReceived ? this.#onMessage(event) : [];
  }

  static scheduleReport(): Effect {
    return setTimer(TimerKind.LimitReport, TIMER_KEY, REPORT_INTERVAL_MS);
  }

  #onMessage({ message }: PeerMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case PeerMessageKind.LoadChange:
        this.#limits.get(message.instanceId)?.bucket?.take();
        return [];
      case PeerMessageKind.TargetLimits:
        return message.limits.flatMap((limit) => this.#merge(limit));
      default:
        return [];
    }
  }

  #merge({ instanceId, ageMs, maxRequestsPerSecond }: ReportedLimit): readonly Effect[] {
    const statedAtMs = this.runtime.nowMs() - ageMs;
    const known = this.#limits.get(instanceId);
    return statedAtMs > (known?.statedAtMs ?? -Infinity)
      ? this.#record(instanceId, maxRequestsPerSecond, statedAtMs)
      : [];
  }

  /** Records what an answer to this gateway says, and tells the other gateways what is new. */
  #recordOwn(instanceId: string, maxRequestsPerSecond: number | undefined): readonly Effect[] {
    const lines = this.#record(instanceId, maxRequestsPerSecond, this.runtime.nowMs());
    return lines.length === 0
      ? []
      : [...lines, ...send(this.#gateways(), [this.#toReport(instanceId)])];
  }

  /** Returns a line when the target named another limit before. */
  #record(
    instanceId: string,
    maxRequestsPerSecond: number | undefined,
    statedAtMs: number,
  ): readonly Effect[] {
    const known = this.#limits.get(instanceId);
    if (known?.maxRequestsPerSecond === maxRequestsPerSecond) {
      if (known !== undefined) {
        this.#limits.set(instanceId, { ...known, statedAtMs });
      }
      return [];
    }
    const nowMs = this.runtime.nowMs();
    const neededTokens = this.#drawNeededTokens();
    const changed = { changedAtMs: nowMs, statedAtMs, neededTokens };
    const limit = maxRequestsPerSecond === undefined ? {} : { maxRequestsPerSecond };
    this.#limits.set(instanceId, {
      ...changed,
      ...limit,
      ...(maxRequestsPerSecond === undefined
        ? {}
        : { bucket: this.#createBucket(maxRequestsPerSecond) }),
    });
    return [
      log(LogLevel.Info, LogTopic.TargetLimited, {
        instanceId,
        ...limit,
        ...(known === undefined ? {} : { durationMs: Math.round(nowMs - known.changedAtMs) }),
      }),
    ];
  }

  #createBucket(maxRequestsPerSecond: number): RateBucket {
    const ratePerSecond = Math.max(MIN_REQUESTS_PER_SECOND, maxRequestsPerSecond);
    return RateBucket.create(ratePerSecond, this.runtime.nowMs);
  }

  /** Differs between gateways, so that they do not all use a token before they hear of each other. */
  #drawNeededTokens(): number {
    return 1 + this.runtime.random();
  }

  /** Reports limits repeatedly, since messages may be lost. */
  #report(): readonly Effect[] {
    const nowMs = this.runtime.nowMs();
    const limits = [...this.#limits.entries()]
      .filter(
        ([, { maxRequestsPerSecond, changedAtMs }]) =>
          maxRequestsPerSecond !== undefined || nowMs - changedAtMs < REPORT_END_MS,
      )
      .slice(-MAX_REPORTED_LIMITS)
      .map(([instanceId]) => this.#toReport(instanceId));
    const recipients = this.#gateways()
      .map((address) => ({ address, sortKey: this.runtime.random() }))
      .sort((left, right) => left.sortKey - right.sortKey)
      .slice(0, REPORT_RECIPIENTS)
      .map(({ address }) => address);
    return limits.length === 0 ? [] : send(recipients, limits);
  }

  #toReport(instanceId: string): ReportedLimit {
    const { maxRequestsPerSecond, statedAtMs = 0 } = this.#limits.get(instanceId) ?? {};
    return {
      instanceId,
      ageMs: Math.round(this.runtime.nowMs() - statedAtMs),
      ...(maxRequestsPerSecond === undefined ? {} : { maxRequestsPerSecond }),
    };
  }

  #gateways(): readonly string[] {
    return this.#members.others(PeerRole.Gateway).map(({ address }) => address);
  }

  /** Writes one line for each target, since its further answers will have the same values. */
  #logInvalid(
    { instanceId, service }: PublishedTarget,
    fields: readonly string[],
  ): readonly Effect[] {
    if (fields.length === 0 || this.#invalidIds.get(instanceId) === true) {
      return [];
    }
    this.#invalidIds.set(instanceId, true);
    const detail = fields.join(',');
    return [log(LogLevel.Warn, LogTopic.NoticeInvalid, { instanceId, service, detail })];
  }
}

/**
 * Registers the service that keeps what targets say of themselves.
 *
 * @example
 * const services = [membersRegistration(options), noticesRegistration({ runtime })];
 */
export const noticesRegistration = ({
  runtime,
}: NoticesOptions): Registration<ServiceName.Notices> => ({
  name: ServiceName.Notices,
  requires: [ServiceName.Members],
  create: (find) => {
    const service = NoticesService.create(runtime, find);
    const { recordHead, blockedForMs, recordStart } = service;
    return createInstance(
      { recordHead, blockedForMs, recordStart },
      {
        start: () => [NoticesService.scheduleReport()],
        handle: (event) => service.handle(event),
      },
    );
  },
});
