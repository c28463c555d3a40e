/** @module A budget that keeps retries and hedges to a share of the requests. */

/** Retries earned by each request. */
const RETRIES_PER_REQUEST = 0.05;

/** Retries that may be saved up, and the budget of a new process. */
const MAX_SAVED_RETRIES = 15;

/** Counts the retries that may be spent. */
export default class RetryBudget {
  #balance = MAX_SAVED_RETRIES;

  private constructor() {}

  /**
   * Creates a full budget.
   *
   * @example
   * const budget = RetryBudget.create();
   */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Adds what one request earns. */
  deposit(): void {
    this.#balance = Math.min(this.#balance + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
  }

  /** Whether one retry may be spent. */
  canWithdraw(): boolean {
    return this.#balance >= 1;
  }

  /** Spends one retry. */
  withdraw(): void {
    this.#balance -= 1;
  }
}
