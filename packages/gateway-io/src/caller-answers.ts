/** @module Answers of a caller server to requests that no service sees. */
import type { SendAnswerEffect } from '@ebonysill/gateway';
import { DropCause } from '@ebonysill/http';

/** A complete answer; the request has not run. */
export type RefusalAnswer = Omit<SendAnswerEffect, 'kind' | 'exchangeId'>;

const emptyAnswer = (status: number): RefusalAnswer => ({ status, headers: [], body: [] });

/** The request cannot be decoded. */
export const MALFORMED = emptyAnswer(400);

/** Another gateway has room immediately; the spread keeps callers from returning together. */
const MIN_NO_ROOM_RETRY_MS = 20;

const NO_ROOM_SPREAD_MS = 40;

const noRoomAnswer = (): RefusalAnswer => ({
  status: 503,
  headers: [{ name: 'content-type', value: 'application/problem+json' }],
  body: [Buffer.from(JSON.stringify({ status: 503, reason: 'no-room' }))],
  retryAfterMs: Math.round(MIN_NO_ROOM_RETRY_MS + NO_ROOM_SPREAD_MS * Math.random()),
});

/**
 * Answer to a request whose body is refused.
 *
 * @example
 * refusalOf(DropCause.BodyStalled).status; // 408
 */
export const refusalOf = (cause: DropCause): RefusalAnswer => {
  switch (cause) {
    case DropCause.BodyStalled:
      return emptyAnswer(408);
    case DropCause.TooLarge:
      return emptyAnswer(413);
    default:
      return noRoomAnswer();
  }
};
