/** @module Counts the bytes of answers that wait for their callers in the budget of the process. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { DropCause, type ByteBudget, type Holding } from '@ebonysill/http';

/** Time for which an answer may wait without being read while it is not complete. */
const ANSWER_TIMEOUT_MS = 30_000;

/**
 * Counts the bytes of an answer that wait for the caller; returns how to count them again. An answer
 * that stalls or has no room is cut off.
 *
 * @example
 * const refreshWaiting = holdAnswer(budget, socket, response);
 * response.write(data);
 * refreshWaiting();
 */
const holdAnswer = (budget: ByteBudget, socket: Socket, response: ServerResponse): (() => void) => {
  let takenBytes = 0;
  const refresh = (holding: Holding): void => {
    const takenNowBytes = socket.bytesWritten - socket.writableLength;
    if (takenNowBytes > takenBytes || response.writableLength === 0) {
      takenBytes = takenNowBytes;
      holding.recordProgress();
    }
    holding.setSize(response.writableLength);
  };
  const holding = budget.open({
    stallTimeoutMs: ANSWER_TIMEOUT_MS,
    stallCause: DropCause.AnswerStalled,
    drop: () => response.destroy(),
    refresh: () => refresh(holding),
  });
  response.on('close', () => holding.release());
  return () => refresh(holding);
};

export default holdAnswer;
