/** @module One caller's request on its way through this process. */
import type { CallerRequest, TargetHead } from './exchange-data.js';
import { EventSplitter } from './event-splitter.js';
import { CallKind, type Organisation, type PublishedTarget, type Route } from './published.js';

/** How an exchange ended. */
export enum ExchangeOutcome {
  /** The target's whole answer was delivered. */
  Served = 'served',
  /** It did not run and never will. */
  Refused = 'refused',
  /** It may have run; no whole answer was delivered. */
  Failed = 'failed',
  /** The caller left. */
  Abandoned = 'abandoned',
}

/** Why an exchange ended as it did, or why a call was repeated. */
export enum ExchangeReason {
  Answered = 'answered',
  NotConfigured = 'not-configured',
  StoreCopyStale = 'knowledge-too-old',
  NoRoute = 'no-route',
  UnknownCredential = 'unknown-credential',
  TooManyStreams = 'too-many-streams',
  NoTarget = 'no-target',
  NotRunByTarget = 'not-run-by-target',
  TargetUnreachable = 'target-unreachable',
  TargetFailed = 'target-failed',
  CallInterrupted = 'call-cut',
  DeadlinePassed = 'deadline-passed',
  CallerDisconnected = 'caller-left',
  Draining = 'draining',
  CrashSuspect = 'crash-suspect',
}

/** What the exchange was resolved to when it was accepted. */
export interface Resolution {
  readonly route: Route;
  readonly service: string;
  readonly organisation?: Organisation;
}

/** Whether a call may reach a second target after it may have run. */
export const isRetryable = ({ kind, isResumable }: Route): boolean =>
  kind === CallKind.Idempotent || (kind === CallKind.Streaming && isResumable);

/** State of one exchange. */
export class Exchange {
  /** Calls that may have run or were turned away by a target. */
  attemptCount = 0;

  /** Calls whose connection could not be opened. */
  unreachableCount = 0;

  callId: number | undefined;

  target: PublishedTarget | undefined;

  /** Targets whose passes go together with those of the present one; before a call, the service. */
  pool: string;

  head: TargetHead | undefined;

  readonly body: Uint8Array[] = [];

  /** Whether the head of an answer went to the caller. */
  isAnswerBegun = false;

  /** Whether some target may have run the request. */
  mayHaveRun = false;

  lastEventId: string | undefined;

  lastEventAtMs: number | undefined;

  firstEventMs: number | undefined;

  longestPauseMs = 0;

  splitter = EventSplitter.create();

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

  /** When the caller or the route stops waiting. */
  get deadlineAtMs(): number {
    const { timeoutMs } = this.resolution.route;
    return this.receivedAtMs + Math.min(timeoutMs, this.request.remainingMs ?? timeoutMs);
  }

  get isStream(): boolean {
    return this.resolution.route.kind === CallKind.Streaming;
  }

  /** Notes that a call to a target begins, and forgets the answer of the one before. */
  recordCall(callId: number, target: PublishedTarget, pool: string): void {
    this.callId = callId;
    this.pool = pool;
    this.target = target;
    this.triedIds.add(target.instanceId);
    this.head = undefined;
    this.body.length = 0;
    this.splitter = EventSplitter.create();
  }

  /** Notes that the call in progress is over. */
  clearCall(): void {
    this.callId = undefined;
  }

  /** Notes that no connection to the target could be opened. */
  recordUnreachable(): void {
    this.unreachableCount += 1;
  }

  /** Notes that a target turned the request away without running it. */
  recordRejection(): void {
    this.attemptCount += 1;
  }

  /** Notes that a target may have run the request. */
  recordAttempt(): void {
    this.attemptCount += 1;
    this.mayHaveRun = true;
  }

  /** Notes that a call was given up while its target may be at work. */
  markAbandoned(): void {
    this.mayHaveRun ||= this.callId !== undefined;
  }

  /** Takes the head of the target's answer. */
  recordHead(head: TargetHead): void {
    this.head = head;
  }

  /** Notes that the head goes to the caller; false when one went before. */
  markAnswerBegun(): boolean {
    const isFirst = !this.isAnswerBegun;
    this.isAnswerBegun = true;
    return isFirst;
  }

  /** Notes that an event goes to the caller; returns the pause before it, if there was one. */
  recordEvent(nowMs: number, id: string | undefined): number | undefined {
    this.lastEventId = id ?? this.lastEventId;
    const pauseMs = this.lastEventAtMs === undefined ? undefined : nowMs - this.lastEventAtMs;
    this.firstEventMs ??= nowMs - this.receivedAtMs;
    this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs ?? 0);
    this.lastEventAtMs = nowMs;
    return pauseMs;
  }
}
