/** @module Availability zones that operators took out. */
import { log } from './build-effects.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';

/** Zones whose targets get no requests. */
export default class ExcludedZones {
  /** By zone: when it is back in use; undefined while the store holds its entry. */
  readonly #lapseAtMs = new Map<string, number | undefined>();

  private constructor() {}

  /**
   * Creates a record in which all zones are in use.
   *
   * @example
   * const zones = ExcludedZones.create();
   */
  static create(): ExcludedZones {
    return new ExcludedZones();
  }

  has(zone: string): boolean {
    return this.#lapseAtMs.has(zone);
  }

  names(): readonly string[] {
    return [...this.#lapseAtMs.keys()];
  }

  /** Takes a zone out until its entry is removed. */
  add(zone: string): readonly Effect[] {
    const isKnown = this.#lapseAtMs.has(zone);
    this.#lapseAtMs.set(zone, undefined);
    return isKnown ? [] : [log(LogLevel.Info, LogTopic.ZoneOut, { zone })];
  }

  /** Takes a zone back into use. */
  remove(zone: string): readonly Effect[] {
    return this.#lapseAtMs.delete(zone) ? [log(LogLevel.Info, LogTopic.ZoneBack, { zone })] : [];
  }

  /** Takes a zone back into use at a time, unless its entry is published again until then. */
  lapse(zone: string, lapsesAtMs: number): void {
    this.#lapseAtMs.set(zone, lapsesAtMs);
  }

  /** Takes zones back into use that lapsed. */
  removeLapsed(nowMs: number): readonly Effect[] {
    return [...this.#lapseAtMs]
      .filter(([, atMs]) => (atMs ?? Infinity) <= nowMs)
      .flatMap(([zone]) => this.remove(zone));
  }

  /** When the next zone lapses; infinite when none does. */
  nextLapseAtMs(): number {
    return Math.min(Infinity, ...[...this.#lapseAtMs.values()].map((atMs) => atMs ?? Infinity));
  }
}
