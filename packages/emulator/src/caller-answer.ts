/** @module The part of an answer that a caller has received. */
import type { Problem } from '@ebonysill/core';

/** Progress of an answer. */
export enum AnswerState {
  Waiting = 'waiting',
  /** The answer is complete. */
  Ended = 'ended',
  /** A problem was received instead of the answer, or in the middle of it. */
  Refused = 'refused',
  /** The connection was lost before the answer was complete. */
  Disconnected = 'disconnected',
}

/** One answer, as received so far. */
export interface CallerAnswer {
  readonly state: AnswerState;
  readonly text: string;
  readonly idempotencyKey: string | undefined;
  readonly problem: Problem | undefined;
  /** When the caller sent the request; the latency to the entry process comes after it. */
  readonly sentAtMs: number;
  readonly firstChunkAtMs: number | undefined;
  readonly endedAtMs: number | undefined;
}

/**
 * Creates an answer of which nothing has been received yet.
 *
 * @example
 * const answer = createPendingAnswer(time.nowMs);
 */
export const createPendingAnswer = (sentAtMs: number): CallerAnswer => ({
  state: AnswerState.Waiting,
  text: '',
  idempotencyKey: undefined,
  problem: undefined,
  sentAtMs,
  firstChunkAtMs: undefined,
  endedAtMs: undefined,
});
