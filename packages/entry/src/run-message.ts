/** @module Builds the message that asks a sidecar to run a call. */
import { MessageKind, type Call, type RunMessage } from '@ebonysill/core';

/** The parts of a run message that differ between attempts. */
export interface AttemptFields {
  readonly runId: string;
  readonly nowMs: number;
  readonly crashCount: number;
  readonly deliveredCount: number;
  readonly deliveredText?: string;
  /** Present for non-idempotent calls. */
  readonly key?: string;
}

/**
 * Builds the run message of one attempt.
 *
 * @example
 * buildRunMessage(call, { runId, nowMs, crashCount: 0, deliveredCount: 0 });
 */
export const buildRunMessage = (call: Call, attempt: AttemptFields): RunMessage => {
  const { event, service } = call;
  return {
    kind: MessageKind.Run,
    runId: attempt.runId,
    requestId: call.requestId,
    organisationId: call.organisation.organisationId,
    request: {
      service: service.name,
      method: event.method,
      path: event.path,
      contentType: event.contentType,
      body: event.body,
    },
    timeLeftMs: Math.max(call.deadlineAtMs - attempt.nowMs, 0),
    priority: event.priority,
    fingerprint: call.fingerprint,
    crashCount: attempt.crashCount,
    deliveredCount: attempt.deliveredCount,
    continuation: service.continuation,
    ...(attempt.key === undefined ? {} : { key: attempt.key }),
    ...(attempt.deliveredText === undefined ? {} : { deliveredText: attempt.deliveredText }),
  };
};
