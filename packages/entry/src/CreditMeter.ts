/** @module Gathers flushed chunks into credit for the sender. */

/** Flushed chunks that are granted as credit in one message. */
const CREDIT_BATCH = 256;

/** Counts chunks that the caller's connection took over. */
export default class CreditMeter {
  #flushedCount = 0;

  private constructor() {}

  /**
   * Creates a meter at zero.
   *
   * @example
   * const credit = CreditMeter.create();
   */
  static create(): CreditMeter {
    return new CreditMeter();
  }

  /** Counts flushed chunks; returns the credit to grant now, or 0. */
  addFlushed(chunkCount: number): number {
    this.#flushedCount += chunkCount;
    if (this.#flushedCount < CREDIT_BATCH) {
      return 0;
    }
    const granted = this.#flushedCount;
    this.#flushedCount = 0;
    return granted;
  }
}
