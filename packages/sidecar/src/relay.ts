/** @module Passes the answer of a run on to its subscribers, within their credit. */
import { MessageKind, type Effect } from '@ebonysill/core';
import { send } from '@ebonysill/fleet';
import { MAX_RECORDED_BYTES, RunState, knownCount, type Run, type Subscriber } from './run.js';

const sendHead = (run: Run, subscriber: Subscriber): readonly Effect[] => {
  if (run.head === undefined || subscriber.isHeadSent) {
    return [];
  }
  subscriber.isHeadSent = true;
  const { status, contentType } = run.head;
  return [
    send(subscriber.linkId, {
      kind: MessageKind.RunHead,
      runId: subscriber.runId,
      status,
      contentType,
    }),
  ];
};

const sendChunks = (run: Run, subscriber: Subscriber): readonly Effect[] => {
  const from = subscriber.nextSequence - run.firstSequence;
  const chunks = run.chunks.slice(from, from + subscriber.credit);
  const firstSequence = subscriber.nextSequence;
  subscriber.nextSequence += chunks.length;
  subscriber.credit -= chunks.length;
  return chunks.map((data, index) =>
    send(subscriber.linkId, {
      kind: MessageKind.RunChunk,
      runId: subscriber.runId,
      sequence: firstSequence + index,
      data,
    }),
  );
};

const releaseSent = (run: Run): void => {
  if (run.isRecorded) {
    return;
  }
  const sentUpTo = Math.min(...run.subscribers.map(({ nextSequence }) => nextSequence));
  const sentCount = Math.min(Math.max(sentUpTo - run.firstSequence, 0), run.chunks.length);
  const released = run.chunks.splice(0, sentCount);
  run.firstSequence += released.length;
  run.heldBytes -= released.reduce((sizeBytes, chunk) => sizeBytes + chunk.length, 0);
};

/**
 * Adds a chunk to the answer. An answer that grows past the bound is no longer recorded.
 *
 * @example
 * holdChunk(run, 'data: {}\n\n');
 */
export const holdChunk = (run: Run, data: string): void => {
  run.chunks.push(data);
  run.heldBytes += data.length;
  if (run.heldBytes > MAX_RECORDED_BYTES) {
    run.isRecorded = false;
  }
};

/**
 * Sends what the subscribers' credit allows, and forgets what nobody needs.
 *
 * @example
 * const effects = relay(run);
 */
export const relay = (run: Run): readonly Effect[] => {
  const effects = run.subscribers.flatMap((subscriber) => [
    ...sendHead(run, subscriber),
    ...sendChunks(run, subscriber),
  ]);
  releaseSent(run);
  return effects;
};

/**
 * Whether a subscriber has received the whole answer.
 *
 * @example
 * run.subscribers.every((subscriber) => isComplete(run, subscriber));
 */
export const isComplete = (run: Run, subscriber: Subscriber): boolean =>
  run.state === RunState.Answered && subscriber.nextSequence >= knownCount(run);

/**
 * Whether some subscriber lags so far that the target's answer must not be read on.
 *
 * @example
 * if (isStalled(run)) pause(run.callId);
 */
export const isStalled = (run: Run): boolean =>
  run.state === RunState.Running &&
  !run.isRecorded &&
  run.subscribers.some(({ credit }) => credit === 0);
