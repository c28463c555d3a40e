/** @module Splits a target's answer into chunks that do not depend on how its bytes arrive. */

const EVENT_STREAM = 'text/event-stream';

const EVENT_END = '\n\n';

/** Size of the chunks of an answer that is not an event stream. */
const PLAIN_CHUNK_CHARS = 16_384;

/** Splits a stream of text into chunks. */
export interface ChunkSplitter {
  /** Adds text; returns the chunks that it completes. */
  readonly push: (text: string) => readonly string[];
  /** Returns the rest at the end of the answer as the last chunk, if there is any. */
  readonly flush: () => readonly string[];
}

type FindEnd = (pending: string) => number;

const endOfEvent: FindEnd = (pending) => {
  const index = pending.indexOf(EVENT_END);
  return index < 0 ? -1 : index + EVENT_END.length;
};

const endOfPlainChunk: FindEnd = (pending) =>
  pending.length < PLAIN_CHUNK_CHARS ? -1 : PLAIN_CHUNK_CHARS;

const splitBy = (findEnd: FindEnd): ChunkSplitter => {
  let pending = '';
  return {
    push: (text) => {
      pending += text;
      const chunks: string[] = [];
      let end = findEnd(pending);
      while (end > 0) {
        chunks.push(pending.slice(0, end));
        pending = pending.slice(end);
        end = findEnd(pending);
      }
      return chunks;
    },
    flush: () => {
      const rest = pending === '' ? [] : [pending];
      pending = '';
      return rest;
    },
  };
};

/** Chooses the splitter for a content type. */
export type CreateSplitter = (contentType: string) => ChunkSplitter;

/**
 * Splits an event stream after each event, and any other answer into chunks of equal size.
 *
 * @example
 * createSplitter('text/event-stream').push('data: 1\n\ndata: 2'); // ['data: 1\n\n']
 */
export const createSplitter: CreateSplitter = (contentType) =>
  splitBy(contentType.startsWith(EVENT_STREAM) ? endOfEvent : endOfPlainChunk);
