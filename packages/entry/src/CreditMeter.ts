/** @module Batches flushed chunks into flow-control credit for the sender. */

/**
 * Number of flushed chunks after which one message grants credit for all of them. Must not exceed
 * the initial credit of a sidecar's subscriber, or the sender would wait for credit forever.
 */
const CREDIT_BATCH = 256;

/** Counts chunks that were flushed to the caller's connection. */
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
