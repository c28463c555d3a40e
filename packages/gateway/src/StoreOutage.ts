/** @module Times in which the store could not be asked, and entries that may have lapsed in them. */

/**
 * Failed reads in a row that make an outage. A single one is a watch that was cut or a connection that
 * has gone silent, during which targets go on to renew their entries.
 */
const MIN_FAILURES = 2;

/**
 * Heartbeat intervals without an answer after which entries may have lapsed. The store removes them
 * after three without a heartbeat, of which one may have passed before; targets keep the interval
 * only about.
 */
const MIN_OUTAGE_HEARTBEATS = 1.6;

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
  /** Interval at which targets renew their entries. */
  readonly heartbeatIntervalMs: number;
}

/** Tells removals by operators and targets from entries that lapsed during an outage. */
export default class StoreOutage {
  #failureCount = 0;

  #wasRestored = false;

  /** When the last read was answered. */
  #answeredAtMs = Number.NEGATIVE_INFINITY;

  #endedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: StoreOutageOptions) {}

  /**
   * Creates a record without outages.
   *
   * @example
   * const outage = StoreOutage.create({ nowMs, drainTimeoutMs: 2_000, heartbeatIntervalMs: 1_200 });
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
    this.#wasRestored = true;
  }

  /** Records a read that was answered, which ends an outage. */
  recordAnswer(): void {
    const nowMs = this.options.nowMs();
    if (this.#wasRestored || this.#mayHaveLapsed(nowMs)) {
      this.#endedAtMs = nowMs;
    }
    this.#wasRestored = false;
    this.#failureCount = 0;
    this.#answeredAtMs = nowMs;
  }

  /** Until when an entry stays in use whose removal is read now; undefined when it has left. */
  graceEndsAtMs(): number | undefined {
    const { nowMs, drainTimeoutMs } = this.options;
    return nowMs() - this.#endedAtMs <= SETTLING_MS
      ? this.#endedAtMs + Math.min(MAX_GRACE_MS, drainTimeoutMs)
      : undefined;
  }

  /** Whether the time since the last answer is an outage that was long enough for entries to lapse. */
  #mayHaveLapsed(nowMs: number): boolean {
    const minOutageMs = MIN_OUTAGE_HEARTBEATS * this.options.heartbeatIntervalMs;
    return this.#failureCount >= MIN_FAILURES && nowMs - this.#answeredAtMs >= minOutageMs;
  }
}
