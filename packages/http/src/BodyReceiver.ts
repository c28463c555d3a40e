/** @module Receives bodies of requests within a budget, and drops the rest of refused ones. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import BodyBuffer from './BodyBuffer.js';
import ByteBudget, { DropCause } from './ByteBudget.js';
import PiecePool from './PiecePool.js';

/** Options of a receiver. */
export interface BodyReceiverOptions {
  readonly budget: ByteBudget;
  /** Time in which an unfinished body must make progress. */
  readonly timeoutMs: number;
  /** Called for bodies that are refused, besides those that the budget drops. */
  readonly onDropped?: (cause: DropCause) => void;
}

/** A request whose body is received. */
export interface BodyRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Limit on this body. */
  readonly maxBytes: number;
  /** Called when the head is accepted, before a byte of the body is awaited. */
  readonly onHeadAccepted?: (() => void) | undefined;
  /** Called with the whole body, which counts in the budget until the response is closed. */
  readonly onComplete: (body: Buffer) => void;
  /** Called instead when the body is not received; its bytes are kept no longer. */
  readonly onRefused: (cause: DropCause) => void;
}

/** Bytes that count as progress of a body; a byte now and then does not. */
const MIN_PROGRESS_BYTES = 1_024;

/** Memory of a request besides its body and its head. */
const REQUEST_OVERHEAD_BYTES = 8_192;

/** The parser takes as long for a chunk of one byte as for one of this size. */
const MIN_CHUNK_BYTES = 64;

/** Small chunks from which a body counts as fragmented: it takes over 10 ms of processor time. */
const FRAGMENTED_CHUNK_COUNT = 4_096;

/** Fragmented bodies that are received at once; others wait for the processor meanwhile. */
const MAX_FRAGMENTED_BODIES = 4;

/** Small chunks of a refused body after which its rest is not awaited, and then not read any more. */
const REFUSED_CHUNK_COUNT = 1_024;

/** Refused bodies that are read at once; the connections of others are closed with their answers. */
const MAX_DROPPED_BODIES = 32;

/** Node keeps the fields of a head as strings, in two forms. */
const headBytesOf = ({ rawHeaders, url = '' }: IncomingMessage): number =>
  2 * rawHeaders.reduce((sum, text) => sum + text.length, url.length);

/** Receives the bodies of a server. */
export default class BodyReceiver {
  readonly #pieces = PiecePool.create();

  /** Refused requests whose bodies are read. */
  readonly #dropping = new Set<IncomingMessage>();

  #fragmentedCount = 0;

  private constructor(private readonly options: BodyReceiverOptions) {}

  /**
   * Creates a receiver.
   *
   * @example
   * const bodies = BodyReceiver.create({ budget, timeoutMs: 10_000 });
   */
  static create(options: BodyReceiverOptions): BodyReceiver {
    return new BodyReceiver(options);
  }

  /** Receives the body of one request; refuses it at once when there is no room for it. */
  receive({
    request,
    response,
    maxBytes,
    onHeadAccepted = () => undefined,
    onComplete,
    onRefused,
  }: BodyRequest): void {
    const { budget, timeoutMs, onDropped = () => undefined } = this.options;
    const announcedBytes = Number(request.headers['content-length'] ?? 0);
    const overheadBytes = REQUEST_OVERHEAD_BYTES + headBytesOf(request);
    const body = BodyBuffer.create(this.#pieces);
    let isReading = true;
    let isFragmented = false;
    let smallChunkCount = 0;
    let progressBytes = MIN_PROGRESS_BYTES;
    const stop = (): void => {
      isReading = false;
      body.clear();
      this.#fragmentedCount -= isFragmented ? 1 : 0;
      isFragmented = false;
    };
    const holding = budget.open({
      stallTimeoutMs: timeoutMs,
      stallCause: DropCause.BodyStalled,
      drop: (cause) => {
        stop();
        onRefused(cause);
      },
    });
    const refuse = (cause: DropCause): void => {
      stop();
      holding.release();
      onDropped(cause);
      onRefused(cause);
    };
    if (announcedBytes > maxBytes) {
      refuse(DropCause.TooLarge);
      return;
    }
    if (!budget.hasRoomFor(overheadBytes + announcedBytes)) {
      refuse(DropCause.NoRoom);
      return;
    }
    response.on('close', () => {
      stop();
      holding.release();
    });
    holding.setSize(overheadBytes);
    // The head itself may have had no room.
    if (isReading) {
      onHeadAccepted();
    }
    request.on('data', (chunk: Buffer) => {
      if (!isReading) {
        return;
      }
      if (body.sizeBytes + chunk.length > maxBytes) {
        refuse(DropCause.TooLarge);
        return;
      }
      body.push(chunk);
      smallChunkCount += chunk.length < MIN_CHUNK_BYTES ? 1 : 0;
      if (smallChunkCount === FRAGMENTED_CHUNK_COUNT && !isFragmented) {
        if (this.#fragmentedCount === MAX_FRAGMENTED_BODIES) {
          refuse(DropCause.Fragmented);
          return;
        }
        isFragmented = true;
        this.#fragmentedCount += 1;
      }
      if (body.sizeBytes >= progressBytes) {
        progressBytes = body.sizeBytes + MIN_PROGRESS_BYTES;
        holding.recordProgress();
      }
      holding.setSize(overheadBytes + body.allocatedBytes);
    });
    request.on('end', () => {
      if (isReading) {
        holding.keep();
        const bytes = body.take();
        stop();
        holding.setSize(overheadBytes + bytes.length);
        onComplete(bytes);
      }
    });
  }

  /**
   * Reads and drops the rest of a body, so that its sender reads the answer. Calls `onGivenUp` when the rest
   * is not read: many others are dropped at the moment, or it comes in many small chunks. When these go on,
   * the connection is closed: each costs the processor more than the bytes of an attack.
   */
  drop(request: IncomingMessage, onGivenUp: () => void): void {
    if (!this.#dropping.has(request)) {
      if (this.#dropping.size === MAX_DROPPED_BODIES) {
        onGivenUp();
        return;
      }
      this.#dropping.add(request);
      request.once('close', () => this.#dropping.delete(request));
    }
    let smallChunkCount = 0;
    request.on('data', (chunk: Buffer) => {
      smallChunkCount += chunk.length < MIN_CHUNK_BYTES ? 1 : 0;
      if (smallChunkCount === REFUSED_CHUNK_COUNT) {
        onGivenUp();
      } else if (smallChunkCount === 2 * REFUSED_CHUNK_COUNT) {
        request.socket.destroy();
      }
    });
    request.resume();
  }
}
