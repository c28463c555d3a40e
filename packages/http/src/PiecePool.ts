/**
 * @module Pieces of memory that are used again.
 *
 * Load pattern: bodies are received for a while and then dropped, again and again. Pieces that live so long
 * are collected late, so that several times the memory of the bodies would be in use.
 */

/** Size of the smallest piece. */
const MIN_PIECE_BYTES = 512;

/** Size of the largest piece. */
export const MAX_PIECE_BYTES = 65_536;

/** Free pieces of all sizes together. */
const MAX_FREE_BYTES = 8_388_608;

/** Keeps free pieces by size. */
export default class PiecePool {
  readonly #freeBySize = new Map<number, Buffer[]>();

  #freeBytes = 0;

  private constructor() {}

  /**
   * Creates a pool without pieces.
   *
   * @example
   * const pieces = PiecePool.create();
   * const piece = pieces.take(4_096);
   * pieces.give(piece);
   */
  static create(): PiecePool {
    return new PiecePool();
  }

  /** Returns a piece of a power of two bytes, the next one from the wanted size on within the limits. */
  take(wantedBytes: number): Buffer {
    const sizeBytes = Math.min(
      MAX_PIECE_BYTES,
      Math.max(MIN_PIECE_BYTES, 2 ** Math.ceil(Math.log2(Math.max(1, wantedBytes)))),
    );
    const piece = this.#freeBySize.get(sizeBytes)?.pop();
    this.#freeBytes -= piece === undefined ? 0 : sizeBytes;
    // Not from the shared pool of small buffers, whose blocks other users would keep alive.
    return piece ?? Buffer.allocUnsafeSlow(sizeBytes);
  }

  /** Takes back a piece that nobody reads any more. */
  give(piece: Buffer): void {
    if (this.#freeBytes + piece.length <= MAX_FREE_BYTES) {
      const free = this.#freeBySize.get(piece.length) ?? [];
      this.#freeBySize.set(piece.length, free);
      free.push(piece);
      this.#freeBytes += piece.length;
    }
  }
}
