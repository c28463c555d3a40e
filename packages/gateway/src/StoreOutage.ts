/** @module Times in which the store could not be asked, and entries that may have lapsed in them. */

/**
 * Failed reads in a row that make an outage. A single one is a watch that was cut or a connection that
 * has gone silent, during which targets go on to renew their entries.
 */
const MIN_FAILURES = 2;

/** Removals that the store reports this soon after its return may be lapses. */
const SETTLING_MS = 1_000;

/**
 * Targets that could not renew their entries publish them again within about two seconds of the
 * store's return.
 */
const MAX_GRACE_MS = 2_500;

/** Bounds the grace of entries. */
export interface StoreOutageOptions {
  readonly nowMs: () => number;
  /** Time within which a target that has left gets no further requests. */
  readonly drainTimeoutMs: number;
}

/** Tells removals by operators and targets from entries that lapsed during an outage. */
export default class StoreOutage {
  #failureCount = 0;

  #endedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: StoreOutageOptions) {}

  /**
   * Creates a record without outages.
   *
   * @example
   * const outage = StoreOutage.create({ nowMs, drainTimeoutMs: 2_000 });
   */
  static create(options: StoreOutageOptions): StoreOutage {
    return new StoreOutage(options);
  }

  /** Records a read that failed. */
  recordFailure(): void {
    this.#failureCount += 1;
  }

  /** Records that the store was restored from a copy, which may lack entries. */
  recordRestore(): void {
    this.#failureCount = MIN_FAILURES;
  }

  /** Records a read that was answered, which ends an outage. */
  recordAnswer(): void {
    if (this.#failureCount >= MIN_FAILURES) {
      this.#endedAtMs = this.options.nowMs();
    }
    this.#failureCount = 0;
  }

  /** Until when an entry stays in use whose removal is read now; undefined when it has left. */
  graceEndsAtMs(): number | undefined {
    const { nowMs, drainTimeoutMs } = this.options;
    return nowMs() - this.#endedAtMs <= SETTLING_MS
      ? this.#endedAtMs + Math.min(MAX_GRACE_MS, drainTimeoutMs)
      : undefined;
  }
}
