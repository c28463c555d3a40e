/**
 * @module Collects a body at a cost of about its bytes, however it is chunked.
 *
 * Chunks as Node delivers them are slices that keep the whole block alive that was read from the
 * socket, and each of many small chunks is an object on the heap.
 */

import PiecePool from './PiecePool.js';

/** Copies chunks into pieces that double in size. */
export default class BodyBuffer {
  readonly #pieces: Buffer[] = [];

  /** Bytes used of the last piece. */
  #usedBytes = 0;

  #sizeBytes = 0;

  #allocatedBytes = 0;

  private constructor(private readonly pool: PiecePool) {}

  /**
   * Creates an empty buffer, which allocates nothing yet.
   *
   * @example
   * const body = BodyBuffer.create();
   * request.on('data', (chunk: Buffer) => body.push(chunk));
   */
  static create(pool: PiecePool = PiecePool.create()): BodyBuffer {
    return new BodyBuffer(pool);
  }

  /** Bytes received so far. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Bytes of memory that are allocated for them. */
  get allocatedBytes(): number {
    return this.#allocatedBytes;
  }

  /** Appends a copy of a chunk. */
  push(chunk: Uint8Array): void {
    let offset = 0;
    while (offset < chunk.length) {
      const piece = this.#pieceWithRoom();
      const countBytes = Math.min(chunk.length - offset, piece.length - this.#usedBytes);
      piece.set(chunk.subarray(offset, offset + countBytes), this.#usedBytes);
      this.#usedBytes += countBytes;
      offset += countBytes;
    }
    this.#sizeBytes += chunk.length;
  }

  /** Returns the body in one buffer and empties this one. */
  take(): Buffer {
    const body = Buffer.concat(this.#pieces, this.#sizeBytes);
    this.clear();
    return body;
  }

  /** Drops all bytes. */
  clear(): void {
    this.#pieces.forEach((piece) => this.pool.give(piece));
    this.#pieces.length = 0;
    this.#usedBytes = 0;
    this.#sizeBytes = 0;
    this.#allocatedBytes = 0;
  }

  #pieceWithRoom(): Buffer {
    const last = this.#pieces.at(-1);
    if (last !== undefined && this.#usedBytes < last.length) {
      return last;
    }
    // Doubles the memory up to the largest piece.
    const piece = this.pool.take(this.#allocatedBytes);
    this.#pieces.push(piece);
    this.#usedBytes = 0;
    this.#allocatedBytes += piece.length;
    return piece;
  }
}
