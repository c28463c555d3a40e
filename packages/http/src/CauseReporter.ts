/** @module Reports what is given up for a cause: counters, and a line at most every few seconds. */
/** Options of a reporter. */
export interface CauseReporterOptions {
  /** Writes one line about the drops since the last line of a cause. */
  readonly write: (cause: string, count: number) => void;
  /** Counts one drop. */
  readonly count: (cause: string) => void;
}

/** Time for which drops of one cause are collected into one line. */
export const REPORT_INTERVAL_MS = 5_000;

/** Collects drops by cause; a flood writes no line for each connection. */
export default class CauseReporter {
  /** By cause: drops since its last line, while its interval runs. */
  readonly #pending = new Map<string, number>();

  private constructor(private readonly options: CauseReporterOptions) {}

  /**
   * Creates a reporter.
   *
   * @example
   * const drops = CauseReporter.create({ write: logs.writeDropped, count: metrics.recordDropped });
   */
  static create(options: CauseReporterOptions): CauseReporter {
    return new CauseReporter(options);
  }

  /** Counts a drop; the first of a cause is written at once, later ones together. */
  readonly record = (cause: string): void => {
    this.options.count(cause);
    const pendingCount = this.#pending.get(cause);
    if (pendingCount !== undefined) {
      this.#pending.set(cause, pendingCount + 1);
      return;
    }
    this.options.write(cause, 1);
    this.#startInterval(cause);
  };

  #startInterval(cause: string): void {
    this.#pending.set(cause, 0);
    setTimeout(() => this.#onIntervalEnd(cause), REPORT_INTERVAL_MS).unref();
  }

  #onIntervalEnd(cause: string): void {
    const count = this.#pending.get(cause) ?? 0;
    this.#pending.delete(cause);
    if (count > 0) {
      this.options.write(cause, count);
      this.#startInterval(cause);
    }
  }
}
