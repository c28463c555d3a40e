/** @module Answers that the gateway generates itself. */
import { EffectKind, type SendAnswerEffect } from './effect.js';
import type { ExchangeReason } from './exchange.js';

/** Status codes of answers that the gateway generates. */
export enum LocalStatus {
  Unauthorized = 401,
  NotFound = 404,
  /** A target may have run the request, but no complete answer was received. */
  BadGateway = 502,
  /** The request did not run and never will. */
  NotRun = 503,
  /** A target may have run the request, and the deadline has passed. */
  Timeout = 504,
}

/** Signature of {@link localAnswer}. */
type BuildLocalAnswer = (
  exchangeId: number,
  status: LocalStatus,
  reason: ExchangeReason,
  retryAfterMs?: number,
) => SendAnswerEffect;

/**
 * Builds a complete answer; `retryAfterMs` is given only for requests that did not run.
 *
 * @example
 * localAnswer(7, LocalStatus.NotRun, ExchangeReason.NoTarget, 200);
 */
export const localAnswer: BuildLocalAnswer = (exchangeId, status, reason, retryAfterMs) => ({
  kind: EffectKind.SendAnswer,
  exchangeId,
  status,
  headers: [{ name: 'content-type', value: 'application/problem+json' }],
  body: [Buffer.from(JSON.stringify({ status, reason }))],
  ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});
