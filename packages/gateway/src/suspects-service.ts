/**
 * @module Refuses requests that crash the targets that run them.
 *
 * A caller may repeat such a request many times, and different requests may share the segment of
 * their prompt that crashes targets, at any gateway. A target that closed the connection of a call
 * before the end of its answer, and then refuses connections, has crashed. Gateways tell each other the
 * crashes and which requests and segments were answered since, at once and then repeatedly while requests are
 * refused, so that a process that was restarted or cut off learns of them too.
 */
import { createInstance } from '@ebonysill/kernel';
import type { BarUntilMs } from './bar-suspects.js';
import { log, sendToPeer, setTimer } from './build-effects.js';
import { completionKeyOf, mergeCrashes, type Crash } from './crash.js';
import {
  ServiceName,
  type FindService,
  type MembersApi,
  type Registration,
  type ResolvedRequest,
} from './directory.js';
import { EffectKind, LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, TargetReachability, type Event, type PeerMessageEvent } from './event.js';
import { fingerprintOf } from './fingerprint.js';
import {
  PeerMessageKind,
  PeerRole,
  type CrashReportMessage,
  type ReportedAnswer,
  type ReportedCrash,
  type SuspectsMessage,
} from './peer-message.js';
import type { PublishedTarget } from './published.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/** A failed connection this soon after an interrupted request means that the target crashed. */
const CRASH_WINDOW_MS = 2_000;

/** Maximum number of targets with interrupted requests. */
const MAX_TRACKED_TARGETS = 1_024;

/** Maximum number of segments and requests that are remembered as answered. */
const MAX_ANSWERS = 16_384;

/** Further segments of a prompt are ignored, so that messages and memory stay bounded. */
const MAX_SEGMENTS = 32;

/** Interval at which crashes are reported to gateways that may not know them. */
const REPORT_INTERVAL_MS = 500;

/** Gateways that each periodic report is sent to, chosen at random. */
const REPORT_RECIPIENTS = 2;

/** Suspects that are no longer refused are sent one at a time: a crash shows within this time. */
const TRIAL_INTERVAL_MS = 1_000;

/** Crashes in one message, so that it fits a datagram. */
const MAX_REPORTED_CRASHES = 8;

/** Messages with crashes that answer a gateway that has started. */
const MAX_ANSWER_MESSAGES = 8;

/** A gateway that knows an answer this much newer tells the one that reported a crash. */
const MIN_NEWS_MS = 1_000;

const TIMER_KEY = 0;

/** What crashes are counted by. */
type Traits = Pick<Crash, 'fingerprint' | 'segments'>;

interface InterruptedRequest {
  readonly traits: Traits;
  readonly atMs: number;
}

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface SuspectsOptions {
  readonly runtime: Runtime;
  readonly barUntilMs: BarUntilMs;
}

const segmentsOf = ({ request, resolution }: ResolvedRequest): readonly string[] =>
  request.promptSegments
    .slice(0, MAX_SEGMENTS)
    .map((segment) => `${resolution.service}/${segment}`);

const traitsOf = (resolved: ResolvedRequest): Traits => ({
  fingerprint: fingerprintOf(resolved.request),
  segments: segmentsOf(resolved),
});

class SuspectsService {
  /** By instance identifier: requests that the target interrupted lately. */
  readonly #interruptedRequests = RecentMap.create<InterruptedRequest[]>(MAX_TRACKED_TARGETS);

  /** By instance identifier: when the check in progress began. */
  readonly #checks = RecentMap.create<number>(MAX_TRACKED_TARGETS);

  /**
   * By segment: when a target last began to answer a request with it. By the key of a completion of a
   * segment or a request: when it was last answered to its end.
   */
  readonly #answers = RecentMap.create<number>(MAX_ANSWERS);

  #crashes: readonly Crash[] = [];

  #lastTrialAtMs = -Infinity;

  readonly #jitter: number;

  readonly #members: MembersApi;

  private constructor(
    private readonly options: SuspectsOptions,
    find: FindService,
  ) {
    this.#members = find(ServiceName.Members);
    this.#jitter = options.runtime.random();
  }

  static create(options: SuspectsOptions, find: FindService): SuspectsService {
    return new SuspectsService(options, find);
  }

  readonly recordInterrupted = (
    resolved: ResolvedRequest,
    { instanceId, address }: PublishedTarget,
  ): readonly Effect[] => {
    const nowMs = this.#nowMs();
    this.#interruptedRequests.set(instanceId, [
      ...this.#recentlyInterrupted(instanceId),
      { traits: traitsOf(resolved), atMs: nowMs },
    ]);
    const isChecked = nowMs - (this.#checks.get(instanceId) ?? -Infinity) < CRASH_WINDOW_MS;
    if (isChecked) {
      return [];
    }
    this.#checks.set(instanceId, nowMs);
    return [{ kind: EffectKind.CheckTarget, instanceId, address }];
  };

  readonly recordChecked = (
    instanceId: string,
    reachability: TargetReachability,
  ): readonly Effect[] => {
    this.#checks.delete(instanceId);
    return reachability === TargetReachability.Refusing ? this.recordUnreachable(instanceId) : [];
  };

  readonly recordUnreachable = (instanceId: string): readonly Effect[] => {
    const atMs = this.#nowMs();
    const crashes = this.#recentlyInterrupted(instanceId).map(({ traits }): Crash => ({
      instanceId,
      atMs,
      ...traits,
    }));
    this.#interruptedRequests.delete(instanceId);
    return crashes.flatMap((crash) => [
      ...this.#addCrashes([crash]),
      ...this.#broadcast({
        kind: PeerMessageKind.CrashReport,
        instanceId,
        fingerprint: crash.fingerprint,
        segments: crash.segments,
        answers: this.#answersOf([crash]),
      }),
    ]);
  };

  readonly recordAnswered = (resolved: ResolvedRequest): readonly Effect[] => {
    const nowMs = this.#nowMs();
    const segments = segmentsOf(resolved);
    const cleared = segments.filter((segment) => this.#isSuspected(segment));
    segments.forEach((segment) => this.#answers.set(segment, nowMs));
    return cleared.length === 0
      ? []
      : [
          log(LogLevel.Info, LogTopic.SuspicionCleared, {
            requestId: resolved.request.attemptId,
            promptSegments: cleared.join(','),
          }),
          ...this.#broadcast({
            kind: PeerMessageKind.Suspects,
            crashes: [],
            answers: cleared.map((segment) => ({ segment, ageMs: 0 })),
          }),
        ];
  };

  readonly recordCompleted = (resolved: ResolvedRequest): readonly Effect[] => {
    const nowMs = this.#nowMs();
    const { fingerprint, segments } = traitsOf(resolved);
    const traits = [fingerprint, ...segments];
    const cleared = traits.filter((trait) => this.#isSuspectedAfter(trait));
    traits.forEach((trait) => this.#answers.set(completionKeyOf(trait), nowMs));
    return cleared.length === 0
      ? []
      : this.#broadcast({
          kind: PeerMessageKind.Suspects,
          crashes: [],
          answers: cleared.map((trait) => ({ segment: completionKeyOf(trait), ageMs: 0 })),
        });
  };

  readonly barredForMs = (resolved: ResolvedRequest): number =>
    this.#crashes.length === 0 ? 0 : this.#barredForMs(traitsOf(resolved));

  readonly recordSent = (resolved: ResolvedRequest): void => {
    if (this.#crashes.length > 0 && this.#barUntilMs(traitsOf(resolved)) !== undefined) {
      this.#lastTrialAtMs = this.#nowMs();
    }
  };

  readonly hasUnansweredSegment = (resolved: ResolvedRequest): boolean =>
    segmentsOf(resolved).some((segment) => this.#answers.get(segment) === undefined);

  static scheduleReport(): Effect {
    return setTimer(TimerKind.SuspectReport, TIMER_KEY, REPORT_INTERVAL_MS);
  }

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.TimerFired && event.timer === TimerKind.SuspectReport) {
      return [SuspectsService.scheduleReport(), ...this.#reportCrashes()];
    }
    return event.kind === EventKind.PeerMessageReceived ? this.#onMessage(event) : [];
  }

  #onMessage({ address, message }: PeerMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case PeerMessageKind.CrashReport: {
        const { instanceId, fingerprint, segments, answers } = message;
        return this.#merge(address, [{ instanceId, ageMs: 0, fingerprint, segments }], answers);
      }
      // Gateways of earlier versions ask for the crashes only.
      case PeerMessageKind.QuerySuspects:
      case PeerMessageKind.QueryStartState:
        return this.#buildAnswers().map((answer) => sendToPeer(address, answer));
      case PeerMessageKind.Suspects:
        return this.#merge(address, message.crashes, message.answers);
      default:
        return [];
    }
  }

  #merge(
    address: string,
    reported: readonly ReportedCrash[],
    answers: readonly ReportedAnswer[],
  ): readonly Effect[] {
    const nowMs = this.#nowMs();
    const news = this.#answersOf(reported).filter(({ segment, ageMs }) => {
      const known = answers.find((answer) => answer.segment === segment);
      return known === undefined || known.ageMs > ageMs + MIN_NEWS_MS;
    });
    answers.forEach(({ segment, ageMs }) => {
      const answeredAtMs = Math.max(this.#answers.get(segment) ?? -Infinity, nowMs - ageMs);
      this.#answers.set(segment, answeredAtMs);
    });
    const crashes = reported.map(({ ageMs, ...crash }) => ({ ...crash, atMs: nowMs - ageMs }));
    return [
      ...this.#addCrashes(crashes),
      ...(news.length === 0
        ? []
        : [sendToPeer(address, { kind: PeerMessageKind.Suspects, crashes: [], answers: news })]),
    ];
  }

  /** Returns one line for each crash that was not known. */
  #addCrashes(added: readonly Crash[]): readonly Effect[] {
    const known = this.#crashes;
    this.#crashes = mergeCrashes(known, added, this.#nowMs());
    return this.#crashes
      .filter((crash) => !known.includes(crash))
      .map(({ instanceId, fingerprint, segments }) =>
        log(LogLevel.Warn, LogTopic.CrashSuspected, {
          instanceId,
          count: this.#crashes.filter((crash) => crash.fingerprint === fingerprint).length,
          durationMs: this.#barredForMs({ fingerprint, segments }),
          detail: fingerprint,
          ...(segments.length === 0 ? {} : { promptSegments: segments.join(',') }),
        }),
      );
  }

  /** Reports crashes repeatedly, since messages may be lost. */
  #reportCrashes(): readonly Effect[] {
    const { random } = this.options.runtime;
    const crashes = this.#barredCrashes().slice(-MAX_REPORTED_CRASHES);
    return crashes.length === 0
      ? []
      : this.#members
          .others(PeerRole.Gateway)
          .map(({ address }) => ({ address, sortKey: random() }))
          .sort((left, right) => left.sortKey - right.sortKey)
          .slice(0, REPORT_RECIPIENTS)
          .map(({ address }) => sendToPeer(address, this.#buildReport(crashes)));
  }

  /** Crashes for which requests are refused now. */
  #barredCrashes(): readonly Crash[] {
    return this.#crashes.filter((crash) => this.#barredForMs(crash) > 0);
  }

  #buildReport(crashes: readonly Crash[]): SuspectsMessage {
    const nowMs = this.#nowMs();
    return {
      kind: PeerMessageKind.Suspects,
      crashes: crashes.map(({ atMs, ...crash }) => ({ ...crash, ageMs: Math.round(nowMs - atMs) })),
      answers: this.#answersOf(crashes),
    };
  }

  /** Messages for a gateway that has started, with the latest crashes first. */
  #buildAnswers(): readonly SuspectsMessage[] {
    const crashes = [...this.#crashes].reverse();
    const count = Math.min(MAX_ANSWER_MESSAGES, Math.ceil(crashes.length / MAX_REPORTED_CRASHES));
    return Array.from({ length: count }, (_, index) =>
      this.#buildReport(
        crashes.slice(index * MAX_REPORTED_CRASHES, (index + 1) * MAX_REPORTED_CRASHES),
      ),
    );
  }

  #broadcast(message: CrashReportMessage | SuspectsMessage): readonly Effect[] {
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) => sendToPeer(address, message));
  }

  #answersOf(crashes: readonly Traits[]): readonly ReportedAnswer[] {
    const nowMs = this.#nowMs();
    const keys = crashes.flatMap(({ fingerprint, segments }) => [
      ...segments,
      ...[fingerprint, ...segments].map(completionKeyOf),
    ]);
    return [...new Set(keys)].flatMap((segment) => {
      const answeredAtMs = this.#answers.get(segment);
      return answeredAtMs === undefined
        ? []
        : [{ segment, ageMs: Math.round(nowMs - answeredAtMs) }];
    });
  }

  /** Whether a segment is among those of a crash, and was not answered since. */
  #isSuspected(segment: string): boolean {
    const answeredAtMs = this.#answers.get(segment) ?? -Infinity;
    return this.#crashes.some(
      ({ atMs, segments }) => atMs >= answeredAtMs && segments.includes(segment),
    );
  }

  /** Whether a crash was in a request with a fingerprint or segment that was not completed since. */
  #isSuspectedAfter(trait: string): boolean {
    const completedAtMs = this.#answers.get(completionKeyOf(trait)) ?? -Infinity;
    return this.#crashes.some(
      ({ atMs, fingerprint, segments }) =>
        atMs >= completedAtMs && (fingerprint === trait || segments.includes(trait)),
    );
  }

  #barUntilMs({ fingerprint, segments }: Traits): number | undefined {
    return this.options.barUntilMs({
      fingerprint,
      segments,
      crashes: this.#crashes,
      answeredAtMs: (segment) => this.#answers.get(segment),
      completedAtMs: (trait) => this.#answers.get(completionKeyOf(trait)),
      jitter: this.#jitter,
    });
  }

  #barredForMs(traits: Traits): number {
    const untilMs = this.#barUntilMs(traits);
    return untilMs === undefined
      ? 0
      : Math.ceil(
          Math.max(0, Math.max(untilMs, this.#lastTrialAtMs + TRIAL_INTERVAL_MS) - this.#nowMs()),
        );
  }

  #recentlyInterrupted(instanceId: string): InterruptedRequest[] {
    const sinceMs = this.#nowMs() - CRASH_WINDOW_MS;
    return (this.#interruptedRequests.get(instanceId) ?? []).filter(({ atMs }) => atMs > sinceMs);
  }

  #nowMs(): number {
    return this.options.runtime.nowMs();
  }
}

/**
 * Registers the service that refuses requests that crash targets.
 *
 * @example
 * const services = [membersRegistration(options), suspectsRegistration({ runtime, barUntilMs })];
 */
export const suspectsRegistration = (
  options: SuspectsOptions,
): Registration<ServiceName.Suspects> => ({
  name: ServiceName.Suspects,
  requires: [ServiceName.Members],
  create: (find) => {
    const service = SuspectsService.create(options, find);
    const { recordInterrupted, recordChecked, recordUnreachable } = service;
    const { recordAnswered, recordCompleted, recordSent } = service;
    const { barredForMs, hasUnansweredSegment } = service;
    return createInstance(
      {
        recordInterrupted,
        recordChecked,
        recordUnreachable,
        recordAnswered,
        recordCompleted,
        recordSent,
        barredForMs,
        hasUnansweredSegment,
      },
      {
        start: () => [SuspectsService.scheduleReport()],
        handle: (event) => service.handle(event),
      },
    );
  },
});
