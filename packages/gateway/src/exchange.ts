/** @module State of one caller's request while this process handles it. */
import type { PublishedPriorities, RequestWork } from '@ebonysill/scheduling';
import type { CallerRequest, TargetHead } from './exchange-data.js';
import { EventSplitter } from './event-splitter.js';
import type { WaitTrace } from './intake/wait-trace.js';
import { NEVER, type Moment } from './moment.js';
import { CallKind, type Organisation, type PublishedTarget, type Route } from './published.js';

/** How an exchange ended. */
export enum ExchangeOutcome {
  /** The target's complete answer was delivered. */
  Served = 'served',
  /** The request did not run and never will. */
  Refused = 'refused',
  /** The request may have run, but no complete answer was delivered. */
  Failed = 'failed',
  /** The caller disconnected. */
  Abandoned = 'abandoned',
}

/** Why an exchange ended as it did, or why a call was retried. */
export enum ExchangeReason {
  Answered = 'answered',
  NotConfigured = 'not-configured',
  StoreCopyStale = 'knowledge-too-old',
  NoRoute = 'no-route',
  /** The route or the organisation cannot be read from the configuration. */
  ItemUnreadable = 'configuration-unreadable',
  UnknownCredential = 'unknown-credential',
  TooManyStreams = 'too-many-streams',
  NoTarget = 'no-target',
  /** Every target wants no further request for now. */
  TargetsBlocked = 'targets-blocked',
  NotRunByTarget = 'not-run-by-target',
  TargetUnreachable = 'target-unreachable',
  TargetFailed = 'target-failed',
  CallInterrupted = 'call-cut',
  Stalled = 'stalled',
  InternalError = 'internal-error',
  DeadlinePassed = 'deadline-passed',
  CallerDisconnected = 'caller-left',
  Draining = 'draining',
  CrashSuspect = 'crash-suspect',
}

/** How much of an answer the current call has received. */
export enum AnswerProgress {
  None = 'none',
  Head = 'head',
  /** At least one event of a stream. */
  Events = 'events',
}

/** Route, service and organisation to which a request was resolved when it was accepted. */
export interface Resolution {
  readonly route: Route;
  readonly service: string;
  readonly organisation?: Organisation;
  /** Levels of priority of the service that are more urgent than the request. */
  readonly moreUrgentLevels: number;
}

/**
 * Priorities that operators published for the route and the organisation of a request.
 *
 * @example
 * priorityOf(publishedPrioritiesOf(exchange.resolution)); // 1
 */
export const publishedPrioritiesOf = ({
  route,
  organisation,
}: Pick<Resolution, 'route' | 'organisation'>): PublishedPriorities => ({
  routePriority: route.priority,
  ...(organisation?.priority === undefined ? {} : { organisationPriority: organisation.priority }),
});

/** Whether a call may be sent to a second target after it may have run at the first. */
export const isRetryable = ({ kind, isResumable }: Route): boolean =>
  kind === CallKind.Idempotent || (kind === CallKind.Streaming && isResumable);

/** State of one exchange. */
export class Exchange {
  /** Calls that may have run, or that a target rejected without running them. */
  attemptCount = 0;

  /** Calls whose connection could not be opened. */
  unreachableCount = 0;

  callId: number | undefined;

  target: PublishedTarget | undefined;

  /** When the current call was sent. */
  calledAt: Moment = NEVER;

  /** Work of the current call that is outstanding; undefined when it is not known. */
  outstandingWork: RequestWork | undefined;

  /** Whether the current call counts as load of its target. */
  countsAsLoad = false;

  /** Pool of the current target; before the first call, the service. */
  pool: string;

  head: TargetHead | undefined;

  readonly body: Uint8Array[] = [];

  /** Whether the head of an answer was sent to the caller. */
  isAnswerBegun = false;

  /** Whether some target may have run the request. */
  mayHaveRun = false;

  lastEventId: string | undefined;

  lastEventAtMs: number | undefined;

  /** Time of the last event of the current call; undefined before its first. */
  lastCallEventAtMs: number | undefined;

  firstEventMs: number | undefined;

  longestPauseMs = 0;

  /** Events of all streams of the pool when this one had its last. */
  groupEventCount = 0;

  /** Bytes of the current call since its last new event. */
  idleBytes = 0;

  /** Whether bytes wait for the caller, so that nothing more is read from the target. */
  isCallerBehind = false;

  splitter = EventSplitter.create();

  /** What was known when the request had to wait; undefined if it did not. */
  wait: WaitTrace | undefined;

  readonly triedIds = new Set<string>();

  private constructor(
    readonly id: number,
    readonly request: CallerRequest,
    readonly resolution: Resolution,
    readonly receivedAtMs: number,
  ) {
    this.lastEventId = request.resumeAfter;
    this.pool = resolution.service;
  }

  /**
   * Creates an exchange that has called no target yet.
   *
   * @example
   * const exchange = Exchange.create(1, request, { route, service: 'assistant' }, nowMs());
   */
  static create(
    id: number,
    request: CallerRequest,
    resolution: Resolution,
    receivedAtMs: number,
  ): Exchange {
    return new Exchange(id, request, resolution, receivedAtMs);
  }

  /** The caller's deadline or the timeout of the route, whichever is earlier. */
  get deadlineAtMs(): number {
    const { timeoutMs } = this.resolution.route;
    return this.receivedAtMs + Math.min(timeoutMs, this.request.remainingMs ?? timeoutMs);
  }

  get progress(): AnswerProgress {
    if (this.lastCallEventAtMs !== undefined) {
      return AnswerProgress.Events;
    }
    return this.head === undefined ? AnswerProgress.None : AnswerProgress.Head;
  }

  /** Whether bytes of an answer have arrived, of this call or of one that this call resumes. */
  get hasContent(): boolean {
    return this.body.length > 0 || this.isAnswerBegun || this.splitter.pendingBytes > 0;
  }

  get isStream(): boolean {
    return this.resolution.route.kind === CallKind.Streaming;
  }

  /** Records why and how long the request waited. */
  recordWait(wait: WaitTrace): void {
    this.wait = wait;
  }

  /** Records the start of a call to a target and discards the answer of the previous call. */
  recordCall(callId: number, target: PublishedTarget, pool: string): void {
    this.callId = callId;
    this.pool = pool;
    this.target = target;
    this.triedIds.add(target.instanceId);
    this.head = undefined;
    this.body.length = 0;
    this.splitter = EventSplitter.create();
    this.idleBytes = 0;
    this.lastCallEventAtMs = undefined;
  }

  /** Records when the current call was sent and the work that it causes. */
  recordStart(moment: Moment, work: RequestWork | undefined): void {
    this.calledAt = moment;
    this.outstandingWork = work;
    this.countsAsLoad = true;
  }

  /** Records that the current call counts as load no longer. */
  releaseLoad(): void {
    this.countsAsLoad = false;
  }

  /** Records that the target has read the prompt; returns the work that was outstanding before. */
  recordPromptRead(): RequestWork | undefined {
    const work = this.outstandingWork;
    if (work !== undefined) {
      this.outstandingWork = { ...work, readTokens: 0, isLong: false };
    }
    return work;
  }

  /** Records that bytes wait for the caller. */
  recordCallerBehind(): void {
    this.isCallerBehind = true;
  }

  /** Records that the caller has taken them; until now the target could send nothing. */
  recordCallerCaughtUp(nowMs: number): void {
    this.isCallerBehind = false;
    if (this.lastCallEventAtMs !== undefined) {
      this.lastCallEventAtMs = nowMs;
    }
  }

  /** Records that no call is in progress any more. */
  clearCall(): void {
    this.callId = undefined;
  }

  /** Records that no connection to the target could be opened. */
  recordUnreachable(): void {
    this.unreachableCount += 1;
  }

  /** Records that a target rejected the request without running it. */
  recordRejection(): void {
    this.attemptCount += 1;
  }

  /** Records that a target may have run the request. */
  recordAttempt(): void {
    this.attemptCount += 1;
    this.mayHaveRun = true;
  }

  /** Records that the exchange is abandoned; a call in progress may have run. */
  markAbandoned(): void {
    this.mayHaveRun ||= this.callId !== undefined;
  }

  /** Stores the head of the target's answer. */
  recordHead(head: TargetHead): void {
    this.head = head;
  }

  /** Records that the head is sent to the caller; false when one was sent before. */
  markAnswerBegun(): boolean {
    const isFirst = !this.isAnswerBegun;
    this.isAnswerBegun = true;
    return isFirst;
  }

  /** Records how many events the streams of the pool have had, up to and with this one's last. */
  recordGroupEvents(count: number): void {
    this.groupEventCount = count;
  }

  /** Counts bytes that contain no new event. */
  recordIdleBytes(sizeBytes: number): void {
    this.idleBytes += sizeBytes;
  }

  /**
   * Records that an event is sent to the caller; returns the pause since the previous event of the
   * same call.
   */
  recordEvent(nowMs: number, id: string | undefined): number | undefined {
    const { lastEventAtMs = nowMs, lastCallEventAtMs } = this;
    this.idleBytes = 0;
    this.lastEventId = id ?? this.lastEventId;
    this.firstEventMs ??= nowMs - this.receivedAtMs;
    this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - lastEventAtMs);
    this.lastEventAtMs = nowMs;
    this.lastCallEventAtMs = nowMs;
    return lastCallEventAtMs === undefined ? undefined : nowMs - lastCallEventAtMs;
  }
}
