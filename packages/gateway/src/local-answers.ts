/** @module Answers that this process gives itself. */
import { EffectKind, type AnswerWholeEffect } from './effect.js';
import type { ExchangeReason } from './exchange.js';

/** Status codes of own answers. */
export enum LocalStatus {
  Unauthorized = 401,
  NotFound = 404,
  /** A target may have run the request, and its answer was lost. */
  BadGateway = 502,
  /** The request did not run and never will. */
  NotRun = 503,
  /** A target may have run the request, and the time is over. */
  Timeout = 504,
}

/** Builds an answer of this process. */
type BuildLocalAnswer = (
  exchangeId: number,
  status: LocalStatus,
  reason: ExchangeReason,
  retryAfterMs?: number,
) => AnswerWholeEffect;

/**
 * Builds an answer of this process; `retryAfterMs` only for requests that did not run.
 *
 * @example
 * ownAnswer(7, OwnStatus.NotRun, ExchangeReason.NoTarget, 200);
 */
export const localAnswer: BuildLocalAnswer = (exchangeId, status, reason, retryAfterMs) => ({
  kind: EffectKind.AnswerWhole,
  exchangeId,
  status,
  headers: [{ name: 'content-type', value: 'application/problem+json' }],
  body: [Buffer.from(JSON.stringify({ status, reason }))],
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});
