/**
 * @module Collects a body at a cost of about its bytes, however it is chunked.
 *
 * Chunks as Node delivers them are slices that keep the whole block alive that was read from the
 * socket, and each of many small chunks is an object on the heap.
 */

/** Size of the first piece. */
const MIN_PIECE_BYTES = 512;

/** Largest piece; at most this much is allocated beyond the bytes of a large body. */
const MAX_PIECE_BYTES = 65_536;

/** Copies chunks into pieces that double in size. */
export default class BodyBuffer {
  readonly #pieces: Buffer[] = [];

  /** Bytes used of the last piece. */
  #usedBytes = 0;

  #sizeBytes = 0;

  #allocatedBytes = 0;

  private constructor() {}

  /**
   * Creates an empty buffer, which allocates nothing yet.
   *
   * @example
   * const body = BodyBuffer.create();
   * request.on('data', (chunk: Buffer) => body.push(chunk));
   */
  static create(): BodyBuffer {
    return new BodyBuffer();
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
    const last = this.#pieces.at(-1);
    const [first] = this.#pieces;
    const isFull = last !== undefined && this.#usedBytes === last.length;
    const body =
      first !== undefined && this.#pieces.length === 1 && isFull
        ? first
        : Buffer.concat(this.#pieces, this.#sizeBytes);
    this.clear();
    return body;
  }

  /** Drops all bytes. */
  clear(): void {
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
    const pieceBytes = Math.min(MAX_PIECE_BYTES, Math.max(MIN_PIECE_BYTES, this.#allocatedBytes));
    // Not from the shared pool of small buffers, whose blocks other users would keep alive.
    const piece = Buffer.allocUnsafeSlow(pieceBytes);
    this.#pieces.push(piece);
    this.#usedBytes = 0;
    this.#allocatedBytes += pieceBytes;
    return piece;
  }
}
