/** @module A budget that keeps retries and hedges to a share of the requests. */

/** Retries earned by each request. */
const RETRIES_PER_REQUEST = 0.05;

/** Retries that may be saved up, and the budget of a new process. */
const MAX_SAVED_RETRIES = 15;

/** Counts the retries that may be spent. */
export default class RetryBudget {
  #saved = MAX_SAVED_RETRIES;

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
  earn(): void {
    this.#saved = Math.min(this.#saved + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
  }

  /** Whether one retry may be spent. */
  hasOne(): boolean {
    return this.#saved >= 1;
  }

  /** Spends one retry. */
  spend(): void {
    this.#saved -= 1;
  }
}
