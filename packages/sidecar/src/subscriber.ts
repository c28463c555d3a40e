/** @module A subscriber to the answer of a run, with its flow-control credit. */
import { MessageKind, type Effect } from '@ebonysill/core';
import { send } from '@ebonysill/fleet';
import type { AnswerBuffer } from './answer-buffer.js';

/**
 * Chunks that a subscriber may receive before it grants more credit. At least the number after which
 * an entry process grants credit, or both sides would wait forever.
 */
const INITIAL_CREDIT = 512;

/** Status and content type of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly contentType: string;
}

/** Link and run id of a subscriber, and what it has received already. */
export interface SubscriberOptions {
  readonly linkId: string;
  /** Id that the entry process gave to its attempt. */
  readonly runId: string;
  /** Chunks that it received in earlier attempts. */
  readonly deliveredCount: number;
}

/** Tracks what was sent to one subscriber, and its remaining credit. */
export class Subscriber {
  readonly linkId: string;

  readonly runId: string;

  #nextSequence: number;

  #credit = INITIAL_CREDIT;

  #isHeadSent = false;

  private constructor({ linkId, runId, deliveredCount }: SubscriberOptions) {
    this.linkId = linkId;
    this.runId = runId;
    this.#nextSequence = deliveredCount;
  }

  /**
   * Creates a subscriber to which nothing was sent.
   *
   * @example
   * const subscriber = Subscriber.create({ linkId, runId, deliveredCount: 0 });
   */
  static create(options: SubscriberOptions): Subscriber {
    return new Subscriber(options);
  }

  /** Next chunk to send, as a position in the whole answer. */
  get nextSequence(): number {
    return this.#nextSequence;
  }

  /** Whether no chunk may be sent before more credit is granted. */
  get isOutOfCredit(): boolean {
    return this.#credit === 0;
  }

  /** Whether this is the subscription of one attempt on one link. */
  matches(linkId: string, runId: string): boolean {
    return this.linkId === linkId && this.runId === runId;
  }

  addCredit(chunkCount: number): void {
    this.#credit += chunkCount;
  }

  /** Sends the head, if it is known, and the chunks that the credit covers. */
  sendAvailable(head: AnswerHead | undefined, buffer: AnswerBuffer): readonly Effect[] {
    return [...this.#sendHead(head), ...this.#sendChunks(buffer)];
  }

  #sendHead(head: AnswerHead | undefined): readonly Effect[] {
    if (head === undefined || this.#isHeadSent) {
      return [];
    }
    this.#isHeadSent = true;
    return [send(this.linkId, { kind: MessageKind.RunHead, runId: this.runId, ...head })];
  }

  #sendChunks(buffer: AnswerBuffer): readonly Effect[] {
    const firstSequence = this.#nextSequence;
    const chunks = buffer.slice(firstSequence, this.#credit);
    this.#nextSequence += chunks.length;
    this.#credit -= chunks.length;
    return chunks.map((data, index) =>
      send(this.linkId, {
        kind: MessageKind.RunChunk,
        runId: this.runId,
        sequence: firstSequence + index,
        data,
      }),
    );
  }
}
