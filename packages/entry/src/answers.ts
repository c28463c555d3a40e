/** @module Builds the effects that answer a caller. */
import {
  EffectKind,
  LogLevel,
  LogTopic,
  Outcome,
  type Call,
  type Effect,
  type Problem,
  type Reason,
} from '@ebonysill/core';
import { log } from '@ebonysill/fleet';

type LogRequestEnded = (call: Call, outcome: Outcome, nowMs: number, reason?: Reason) => Effect;

/**
 * Builds the log line for the end of a request.
 *
 * @example
 * logRequestEnded(call, Outcome.Done, nowMs);
 */
export const logRequestEnded: LogRequestEnded = (call, outcome, nowMs, reason) =>
  log(LogLevel.Info, LogTopic.RequestEnded, {
    requestId: call.requestId,
    organisationId: call.organisation.organisationId,
    service: call.service.name,
    outcome,
    durationMs: nowMs - call.startedAtMs,
    ...(reason === undefined ? {} : { reason }),
  });

/**
 * Answers a caller with a problem, and logs it.
 *
 * @example
 * answerProblem(call, notRun(Reason.NoTarget, 'no live target'), nowMs);
 */
export const answerProblem = (call: Call, problem: Problem, nowMs: number): readonly Effect[] => [
  {
    kind: EffectKind.AnswerProblem,
    exchangeId: call.exchangeId,
    requestId: call.requestId,
    problem,
  },
  logRequestEnded(call, problem.outcome, nowMs, problem.reason),
];

/**
 * Ends a complete answer, and logs it.
 *
 * @example
 * answerEnd(call, nowMs);
 */
export const answerEnd = (call: Call, nowMs: number): readonly Effect[] => [
  { kind: EffectKind.AnswerEnd, exchangeId: call.exchangeId },
  logRequestEnded(call, Outcome.Done, nowMs),
];
