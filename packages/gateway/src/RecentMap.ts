/** @module A map of bounded size that keeps the entries that were set last. */

/** Evicts the entry that was set longest ago when it exceeds its maximum size. */
export default class RecentMap<TValue> {
  readonly #entries = new Map<string, TValue>();

  private constructor(private readonly maxSize: number) {}

  /**
   * Creates an empty map.
   *
   * @example
   * const answeredAtMs = RecentMap.create<number>(1_024);
   */
  static create<TValue>(maxSize: number): RecentMap<TValue> {
    return new RecentMap<TValue>(maxSize);
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: string): TValue | undefined {
    return this.#entries.get(key);
  }

  has(key: string): boolean {
    return this.#entries.has(key);
  }

  /** Sets an entry, which becomes the most recent one. */
  set(key: string, value: TValue): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > this.maxSize && oldest !== undefined) {
      this.#entries.delete(oldest);
    }
  }

  /** Removes an entry; false when there was none. */
  delete(key: string): boolean {
    return this.#entries.delete(key);
  }

  /** Keys, the most recent one last. */
  keys(): IterableIterator<string> {
    return this.#entries.keys();
  }

  /** Keys and values, the most recent one last. */
  entries(): IterableIterator<[string, TValue]> {
    return this.#entries.entries();
  }

  /** Values, the most recent one last. */
  values(): IterableIterator<TValue> {
    return this.#entries.values();
  }
}
