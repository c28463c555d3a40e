/** @module What a caller has received of one answer. */
import type { Problem } from '@ebonysill/core';

/** How far an answer has come. */
export enum AnswerState {
  Waiting = 'waiting',
  /** The answer ended; it is whole. */
  Ended = 'ended',
  /** A problem came in its place, or cut it. */
  Refused = 'refused',
  /** The connection was lost; nothing more will come. */
  Disconnected = 'disconnected',
}

/** One answer, as received so far. */
export interface CallerAnswer {
  readonly state: AnswerState;
  readonly text: string;
  readonly idempotencyKey: string | undefined;
  readonly problem: Problem | undefined;
  /** Exclusive of the time the request took to reach the entry process. */
  readonly sentMs: number;
  readonly firstChunkMs: number | undefined;
  readonly endedMs: number | undefined;
}

/**
 * An answer of which nothing has come.
 *
 * @example
 * const answer = noAnswer(time.nowMs);
 */
export const createPendingAnswer = (sentMs: number): CallerAnswer => ({
  state: AnswerState.Waiting,
  text: '',
  idempotencyKey: undefined,
  problem: undefined,
  sentMs,
  firstChunkMs: undefined,
  endedMs: undefined,
});
