/** @module Buffer for the chunks of one answer. */

/**
 * Longest answer that is recorded for replay. Chunks hold one character per byte, so the length of
 * their text is their size in bytes.
 */
export const MAX_RECORDED_BYTES = 65_536;

/** Holds the chunks of one answer: all while it is recorded, otherwise those still to be sent. */
export class AnswerBuffer {
  #chunks: string[] = [];

  #bufferedBytes = 0;

  #isRecorded: boolean;

  private constructor(
    private firstSequence: number,
    isRecorded: boolean,
  ) {
    this.#isRecorded = isRecorded;
  }

  /**
   * Creates a buffer whose first chunk has the given position in the whole answer.
   *
   * @example
   * const buffer = AnswerBuffer.create(0, true);
   */
  static create(firstSequence: number, isRecorded: boolean): AnswerBuffer {
    return new AnswerBuffer(firstSequence, isRecorded);
  }

  /** Whether all chunks are kept, so that the answer can be replayed. */
  get isRecorded(): boolean {
    return this.#isRecorded;
  }

  /** Number of chunks of the whole answer that are known so far, discarded chunks included. */
  get knownCount(): number {
    return this.firstSequence + this.#chunks.length;
  }

  get chunks(): readonly string[] {
    return this.#chunks;
  }

  /** Adds a chunk; past {@link MAX_RECORDED_BYTES} the answer is no longer recorded. */
  push(data: string): void {
    this.#chunks.push(data);
    this.#bufferedBytes += data.length;
    if (this.#bufferedBytes > MAX_RECORDED_BYTES) {
      this.#isRecorded = false;
    }
  }

  /** Up to `count` chunks from a position in the whole answer. */
  slice(sequence: number, count: number): readonly string[] {
    const from = Math.max(sequence - this.firstSequence, 0);
    return this.#chunks.slice(from, from + count);
  }

  /** Discards the chunks before a position, unless the answer is recorded. */
  discardBefore(sequence: number): void {
    if (this.#isRecorded) {
      return;
    }
    const count = Math.min(Math.max(sequence - this.firstSequence, 0), this.#chunks.length);
    const discarded = this.#chunks.splice(0, count);
    this.firstSequence += discarded.length;
    this.#bufferedBytes -= discarded.reduce((sizeBytes, chunk) => sizeBytes + chunk.length, 0);
  }
}
