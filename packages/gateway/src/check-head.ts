/** @module Refuses a request from its head, before its body is received. */
import type { LogEffect, SendAnswerEffect } from './effect.js';
import type { CallerRequest } from './exchange-data.js';
import { deniedLine } from './exchange-log.js';
import { LocalStatus, localAnswer } from './local-answers.js';
import { CheckVerdict, checkRequest, type RequestCheck } from './request-check.js';
import { retryAfterMsOf } from './retry-after.js';

/** Answer to a request that is refused from its head, and the line about it. */
export interface HeadRefusal {
  readonly answer: Omit<SendAnswerEffect, 'kind' | 'exchangeId'>;
  readonly line: LogEffect;
}

/** Checks a request whose body is still empty; returns undefined when it may go on. */
export type CheckHead = (request: CallerRequest) => HeadRefusal | undefined;

/**
 * Creates a check of heads against the configuration in force. It denies what the check of a complete
 * request denies, with the same answers.
 *
 * @example
 * const checkHead = createHeadCheck({ catalogue, store, random });
 */
export const createHeadCheck =
  (check: RequestCheck): CheckHead =>
  (request) => {
    const result = checkRequest(check, request);
    if (result.verdict === CheckVerdict.Allowed) {
      return undefined;
    }
    const { status, reason } = result;
    const retryAfterMs =
      status === LocalStatus.NotRun ? retryAfterMsOf(request.remainingMs) : undefined;
    const storeAgeMs = Math.min(Math.round(check.store.ageMs()), Number.MAX_SAFE_INTEGER);
    return {
      answer: localAnswer(0, status, reason, retryAfterMs),
      line: deniedLine(request.attemptId, status, reason, storeAgeMs),
    };
  };
