/**
 * @module Keeps what targets say of themselves in the heads of their answers.
 *
 * A limit on requests and the leaving of a target concern all gateways, which tell each other of
 * them: at once, and then repeatedly. A pause concerns only the gateway that was turned away; others
 * keep it for the case that this gateway starts again. A gateway that starts asks for all of them.
 */
import { createInstance } from '@ebonysill/kernel';
import { isMisdirected } from './answer-status.js';
import { log, sendToPeer, setTimer } from './build-effects.js';
import { datagramCountOf, partOf } from './datagram-parts.js';
import type { CallDecision, DecideCall } from './decide-call.js';
import { ServiceName, type FindService, type MembersApi, type Registration } from './directory.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, type Event, type PeerMessageEvent } from './event.js';
import type { TargetHead } from './exchange-data.js';
import type { Moment } from './moment.js';
import {
  PeerMessageKind,
  PeerRole,
  type ReportedLeaving,
  type TargetNoticesMessage,
} from './peer-message.js';
import type { PublishedTarget } from './published.js';
import RecentMap from './RecentMap.js';
import type { Runtime } from './runtime.js';
import TargetLimits, { type LimitChange } from './TargetLimits.js';
import TargetPauses from './TargetPauses.js';
import TimerKind from './TimerKind.js';

/** Maximum number of targets that are remembered, for each kind of notice. */
const MAX_TARGETS = 1_024;

/** Interval at which notices are reported to gateways that may not know them. */
const REPORT_INTERVAL_MS = 500;

/** Gateways that each periodic report is sent to, chosen at random. */
const REPORT_RECIPIENTS = 2;

/** The leaving of a target is reported for this long; by then its entry has changed. */
const REPORT_LEAVING_MS = 30_000;

/** Entries of one kind in a periodic report, so that it fits a datagram. */
const MAX_REPORTED = 16;

const TIMER_KEY = 0;

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface NoticesOptions {
  readonly runtime: Runtime;
  readonly decideCall: DecideCall;
}

/** A target that leaves. */
interface Leaving extends ReportedLeaving {
  readonly sinceMs: number;
}

type Notices = Omit<TargetNoticesMessage, 'kind'>;

const toReport = ({ instanceId, startedAtMs }: ReportedLeaving): ReportedLeaving => ({
  instanceId,
  ...(startedAtMs === undefined ? {} : { startedAtMs }),
});

const limitLines = (instanceId: string, change: LimitChange | undefined): readonly Effect[] =>
  change === undefined
    ? []
    : [log(LogLevel.Info, LogTopic.TargetLimited, { instanceId, ...change })];

class NoticesService {
  readonly #limits: TargetLimits;

  /** By instance identifier. */
  readonly #leaving = RecentMap.create<Leaving>(MAX_TARGETS);

  readonly #pauses: TargetPauses;

  /** Instance identifiers of targets with a field that could not be decoded. */
  readonly #invalidIds = RecentMap.create<true>(MAX_TARGETS);

  readonly #members: MembersApi;

  private constructor(
    private readonly options: NoticesOptions,
    find: FindService,
  ) {
    this.#limits = TargetLimits.create(options.runtime);
    this.#members = find(ServiceName.Members);
    this.#pauses = TargetPauses.create(options.runtime.nowMs, this.#members.self().address);
  }

  static create(options: NoticesOptions, find: FindService): NoticesService {
    return new NoticesService(options, find);
  }

  readonly recordHead = (
    target: PublishedTarget,
    head: TargetHead,
    askedAt: Moment,
  ): readonly Effect[] => {
    const { invalidFields, maxRequestsPerSecond, isLeaving, pauseMs } = head.notice;
    if (isMisdirected(head.status)) {
      return [];
    }
    const isReliable = head.isSigned || head.isNotRun;
    return [
      ...this.#logInvalid(target, invalidFields),
      ...(isReliable ? this.#recordLimit(target.instanceId, maxRequestsPerSecond, askedAt) : []),
      ...(isLeaving ? this.#recordLeaving(target) : []),
      ...(pauseMs === undefined ? [] : this.#recordPause(target, pauseMs)),
    ];
  };

  readonly decide = (target: PublishedTarget): CallDecision => {
    const { instanceId } = target;
    return this.options.decideCall({
      isLeaving: this.#isLeaving(target),
      pauseMs: this.#pauses.msLeft(instanceId),
      limitMs: this.#limits.msUntilNext(instanceId),
    });
  };

  readonly recordStart = ({ instanceId }: PublishedTarget): void => {
    this.#limits.takeOwn(instanceId);
  };

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.TimerFired && event.timer === TimerKind.NoticeReport) {
      return [NoticesService.scheduleReport(), ...this.#report()];
    }
    return event.kind === EventKind.PeerMessageReceived ? this.#onMessage(event) : [];
  }

  static scheduleReport(): Effect {
    return setTimer(TimerKind.NoticeReport, TIMER_KEY, REPORT_INTERVAL_MS);
  }

  #onMessage({ address, message }: PeerMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case PeerMessageKind.LoadChange:
        this.#limits.take(message.instanceId);
        return [];
      case PeerMessageKind.QueryStartState:
        return this.#buildAnswers(address).map((answer) => sendToPeer(address, answer));
      case PeerMessageKind.TargetNotices:
        message.pauses.forEach((pause) => this.#pauses.merge(pause));
        return [
          ...message.limits.flatMap((limit) =>
            limitLines(limit.instanceId, this.#limits.merge(limit)),
          ),
          ...message.leaving.flatMap((target) => this.#addLeaving(target)),
        ];
      default:
        return [];
    }
  }

  /** Returns lines about what is new, and messages that tell the other gateways. */
  #recordLimit(
    instanceId: string,
    maxRequestsPerSecond: number | undefined,
    askedAt: Moment,
  ): readonly Effect[] {
    const change = this.#limits.record(instanceId, maxRequestsPerSecond, askedAt);
    const lines = limitLines(instanceId, change);
    return lines.length === 0
      ? []
      : [
          ...lines,
          ...this.#send({ limits: [this.#limits.reportOf(instanceId)], leaving: [], pauses: [] }),
        ];
  }

  #recordLeaving(target: PublishedTarget): readonly Effect[] {
    const lines = this.#addLeaving(target);
    return lines.length === 0
      ? []
      : [...lines, ...this.#send({ limits: [], leaving: [toReport(target)], pauses: [] })];
  }

  /** Returns a line when the leaving of the target is new. */
  #addLeaving(target: ReportedLeaving): readonly Effect[] {
    if (this.#isLeaving(target)) {
      return [];
    }
    const { instanceId } = target;
    this.#leaving.set(instanceId, { ...toReport(target), sinceMs: this.#nowMs() });
    return [log(LogLevel.Info, LogTopic.TargetLeaving, { instanceId })];
  }

  #isLeaving({ instanceId, startedAtMs }: ReportedLeaving): boolean {
    const leaving = this.#leaving.get(instanceId);
    return leaving !== undefined && leaving.startedAtMs === startedAtMs;
  }

  #recordPause({ instanceId, service }: PublishedTarget, askedMs: number): readonly Effect[] {
    return this.#pauses.record(instanceId, askedMs)
      ? [log(LogLevel.Info, LogTopic.TargetPaused, { instanceId, service, durationMs: askedMs })]
      : [];
  }

  /** Reports notices repeatedly, since messages may be lost. */
  #report(): readonly Effect[] {
    const limits = this.#limits.reports().slice(-MAX_REPORTED);
    const leaving = this.#recentLeaving().slice(-MAX_REPORTED);
    const pauses = this.#pauses.ownReports().slice(-MAX_REPORTED);
    return limits.length + leaving.length + pauses.length === 0
      ? []
      : this.#send({ limits, leaving, pauses }, REPORT_RECIPIENTS);
  }

  #recentLeaving(): readonly ReportedLeaving[] {
    const nowMs = this.#nowMs();
    return [...this.#leaving.values()]
      .filter(({ sinceMs }) => nowMs - sinceMs < REPORT_LEAVING_MS)
      .map(toReport);
  }

  /** Messages for a gateway that has started; none when there is nothing to tell. */
  #buildAnswers(address: string): readonly TargetNoticesMessage[] {
    const limits = this.#limits.reports();
    const leaving = this.#recentLeaving();
    const pauses = this.#pauses.reportsFor(address);
    const count = datagramCountOf([limits.length, leaving.length, pauses.length]);
    return Array.from({ length: count }, (_, index) => ({
      kind: PeerMessageKind.TargetNotices,
      limits: partOf(limits, index),
      leaving: partOf(leaving, index),
      pauses: partOf(pauses, index),
    }));
  }

  /** Sends to some other gateways, chosen at random; by default to all. */
  #send(notices: Notices, recipientCount = Infinity): readonly Effect[] {
    const { random } = this.options.runtime;
    return this.#members
      .others(PeerRole.Gateway)
      .map(({ address }) => ({ address, sortKey: random() }))
      .sort((left, right) => left.sortKey - right.sortKey)
      .slice(0, recipientCount)
      .map(({ address }) =>
        sendToPeer(address, { kind: PeerMessageKind.TargetNotices, ...notices }),
      );
  }

  /** Writes one line for each target, since its further answers will have the same values. */
  #logInvalid(
    { instanceId, service }: PublishedTarget,
    fields: readonly string[],
  ): readonly Effect[] {
    if (fields.length === 0 || this.#invalidIds.has(instanceId)) {
      return [];
    }
    this.#invalidIds.set(instanceId, true);
    const detail = fields.join(',');
    return [log(LogLevel.Warn, LogTopic.NoticeInvalid, { instanceId, service, detail })];
  }

  #nowMs(): number {
    return this.options.runtime.nowMs();
  }
}

/**
 * Registers the service that keeps what targets say of themselves.
 *
 * @example
 * noticesRegistration({ runtime, decideCall: decideByNotices });
 */
export const noticesRegistration = (
  options: NoticesOptions,
): Registration<ServiceName.Notices> => ({
  name: ServiceName.Notices,
  requires: [ServiceName.Members],
  create: (find) => {
    const service = NoticesService.create(options, find);
    const { recordHead, decide, recordStart } = service;
    return createInstance(
      { recordHead, decide, recordStart },
      {
        start: () => [NoticesService.scheduleReport()],
        handle: (event) => service.handle(event),
      },
    );
  },
});
