/** @module Starts of requests within the last second, by organisation and service. */

/** An organisation that used less than its share may use it again after this time. */
const WINDOW_MS = 1_000;

interface Start {
  readonly key: string;
  readonly atMs: number;
}

/** Keeps no more than the starts of one second. */
export default class RecentStarts {
  readonly #starts: Start[] = [];

  readonly #counts = new Map<string, number>();

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates a count without starts.
   *
   * @example
   * const starts = RecentStarts.create(runtime.nowMs);
   */
  static create(nowMs: () => number): RecentStarts {
    return new RecentStarts(nowMs);
  }

  /** Counts one start that happens now. */
  add(service: string, organisation: string): void {
    this.#expire();
    const key = RecentStarts.#keyOf(service, organisation);
    this.#starts.push({ key, atMs: this.nowMs() });
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
  }

  /** Starts of an organisation's requests at a service. */
  countOf(service: string, organisation: string): number {
    this.#expire();
    return this.#counts.get(RecentStarts.#keyOf(service, organisation)) ?? 0;
  }

  static #keyOf(service: string, organisation: string): string {
    return JSON.stringify([service, organisation]);
  }

  #expire(): void {
    const sinceMs = this.nowMs() - WINDOW_MS;
    while (this.#starts[0] !== undefined && this.#starts[0].atMs <= sinceMs) {
      const { key } = this.#starts[0];
      this.#starts.shift();
      const left = (this.#counts.get(key) ?? 0) - 1;
      if (left > 0) {
        this.#counts.set(key, left);
      } else {
        this.#counts.delete(key);
      }
    }
  }
}
