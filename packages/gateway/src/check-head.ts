/** @module Refuses a request from its head, before its body is received. */
import type { LogEffect, SendAnswerEffect } from './effect.js';
import type { CallerRequest } from './exchange-data.js';
import { deniedLine } from './exchange-log.js';
import { storeAgeMsOf } from './intake/end-state.js';
import { LocalStatus, localAnswer } from './local-answers.js';
import { CheckVerdict, checkRequest, type RequestCheck } from './request-check.js';

/** Answer to a request that is refused from its head, and the line about it. */
export interface HeadRefusal {
  readonly answer: Omit<SendAnswerEffect, 'kind' | 'exchangeId'>;
  readonly line: LogEffect;
}

/** Checks a request whose body is still empty; returns undefined when it may go on. */
export type CheckHead = (request: CallerRequest) => HeadRefusal | undefined;

/**
 * Creates a check of heads against the configuration in force. It denies requests without a route or a
 * credential, as the check of a complete request does. Requests that are told to return are left to
 * that check, since the delay depends on the whole request.
 *
 * @example
 * const checkHead = createHeadCheck({ catalogue, store, peerKnowledge, random });
 */
export const createHeadCheck =
  (check: RequestCheck): CheckHead =>
  (request) => {
    const result = checkRequest(check, request);
    if (result.verdict === CheckVerdict.Allowed || result.status === LocalStatus.NotRun) {
      return undefined;
    }
    return {
      answer: localAnswer(0, result.status, result.reason),
      line: deniedLine(request.attemptId, result, storeAgeMsOf(check.store)),
    };
  };
