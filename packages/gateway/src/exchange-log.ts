/** @module Log lines about exchanges: the decision, and the state that it was based on. */
import { log } from './build-effects.js';
import type { ToldReturn } from './directory.js';
import { LogLevel, LogTopic, type LogEffect, type LogFields } from './effect.js';
import type { CallerRequest } from './exchange-data.js';
import { ExchangeOutcome, ExchangeReason, type Exchange } from './exchange.js';
import type { Denial } from './request-check.js';

/** How an exchange ended. */
export interface ExchangeEnd {
  readonly outcome: ExchangeOutcome;
  readonly reason: ExchangeReason;
  /** Status that the caller received; 0 when it disconnected. */
  readonly status: number;
}

/** Further segments are left out, so that the size of a line stays bounded. */
const MAX_LOGGED_SEGMENTS = 8;

/** State of this process when an exchange ended. */
export interface ExchangeEndState {
  /** Estimated duration of a pass of the request's pool; 0 when unknown. */
  readonly passMs: number;
  /** Requests in the pool, when that is why the request was refused. */
  readonly runningCount?: number;
  readonly nowMs: number;
  /** What the caller was told; absent unless it was refused. */
  readonly told?: ToldReturn;
  /** Time since the store last confirmed this process's copy of it. */
  readonly knowledgeAgeMs: number;
}

/**
 * End of an exchange whose answer was delivered.
 *
 * @example
 * servedWith(200).outcome; // ExchangeOutcome.Served
 */
export const servedWith = (status: number): ExchangeEnd => ({
  outcome: ExchangeOutcome.Served,
  reason: ExchangeReason.Answered,
  status,
});

/** Line about a request that was denied before it became an exchange. */
type DeniedLine = (
  requestId: string,
  denial: Denial,
  knowledgeAgeMs: number,
  told?: ToldReturn,
) => LogEffect;

/** Line about a call that failed and may be retried. */
type CallFailedLine = (exchange: Exchange, reason: ExchangeReason, detail: string) => LogEffect;

/** Line about an error; the identifier is undefined when the exchange has ended. */
type InternalErrorLine = (requestId: string | undefined, error: unknown) => LogEffect;

/** Line about the end of an exchange. */
type EndedLine = (exchange: Exchange, end: ExchangeEnd, state: ExchangeEndState) => LogEffect;

/**
 * Builds the line about a denied request.
 *
 * @example
 * deniedLine('attempt-1', { status: 404, reason: ExchangeReason.NoRoute }, 800);
 */
export const deniedLine: DeniedLine = (requestId, { status, reason }, knowledgeAgeMs, told) =>
  log(LogLevel.Info, LogTopic.RequestEnded, {
    requestId,
    status,
    reason,
    outcome: ExchangeOutcome.Refused,
    ...told,
    knowledgeAgeMs,
  });

const segmentFields = ({ promptSegments }: CallerRequest): Pick<LogFields, 'promptSegments'> =>
  promptSegments.length === 0
    ? {}
    : { promptSegments: promptSegments.slice(0, MAX_LOGGED_SEGMENTS).join(',') };

/**
 * Builds the line about a failed call.
 *
 * @example
 * callFailedLine(exchange, ExchangeReason.CallInterrupted, 'the answer ends early');
 */
export const callFailedLine: CallFailedLine = (exchange, reason, detail) => {
  const { request, target, attemptCount, unreachableCount, progress } = exchange;
  return log(LogLevel.Warn, LogTopic.CallFailed, {
    requestId: request.attemptId,
    ...(target === undefined ? {} : { instanceId: target.instanceId }),
    attempt: attemptCount + unreachableCount,
    progress,
    ...segmentFields(request),
    reason,
    detail,
  });
};

/**
 * Builds the line about an error in the handler of one exchange.
 *
 * @example
 * internalErrorLine('attempt-1', new TypeError('no route'));
 */
export const internalErrorLine: InternalErrorLine = (requestId, error) =>
  log(LogLevel.Warn, LogTopic.ExchangeFailed, {
    ...(requestId === undefined ? {} : { requestId }),
    detail: error instanceof Error ? (error.stack ?? error.message) : String(error),
  });

/**
 * Builds the line about an exchange that ended.
 *
 * @example
 * endedLine(exchange, { outcome, reason, status: 200 }, { nowMs, passMs, knowledgeAgeMs });
 */
export const endedLine: EndedLine = (exchange, end, state) => {
  const { request, resolution, target, firstEventMs } = exchange;
  return log(LogLevel.Info, LogTopic.RequestEnded, {
    requestId: request.attemptId,
    route: resolution.route.name,
    service: resolution.service,
    ...(target === undefined ? {} : { instanceId: target.instanceId }),
    ...segmentFields(request),
    ...end,
    attempt: exchange.attemptCount,
    durationMs: Math.round(state.nowMs - exchange.receivedAtMs),
    ...(firstEventMs === undefined ? {} : { firstEventMs: Math.round(firstEventMs) }),
    longestPauseMs: Math.round(exchange.longestPauseMs),
    passMs: Math.round(state.passMs),
    ...(state.runningCount === undefined ? {} : { runningCount: state.runningCount }),
    ...exchange.wait,
    ...state.told,
    knowledgeAgeMs: state.knowledgeAgeMs,
  });
};
