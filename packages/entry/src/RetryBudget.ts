/** @module A budget that limits retries and hedges to a share of the requests. */

/** Retries that each request adds to the balance. */
const RETRIES_PER_REQUEST = 0.05;

/** Upper bound of the balance, and the balance of a new budget. */
const MAX_BALANCE = 15;

/** Balance of retries that may still be made. */
export default class RetryBudget {
  #balance = MAX_BALANCE;

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

  /** Adds the share of a retry that one request allows. */
  deposit(): void {
    this.#balance = Math.min(this.#balance + RETRIES_PER_REQUEST, MAX_BALANCE);
  }

  /** Whether the balance covers one retry. */
  canWithdraw(): boolean {
    return this.#balance >= 1;
  }

  /** Takes one retry; valid only if {@link canWithdraw}. */
  withdraw(): void {
    this.#balance -= 1;
  }
}
