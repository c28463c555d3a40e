/** @module What an engine's counts, which only grow, added since they were read last. */
import type { RankIncrease, RankTally } from '@ebonysill/gateway';

/** Greatest number of a message that MessagePack writes as one byte. */
const MAX_ONE_BYTE_INTEGER = 127;

/** Follows the counts of one engine. */
export default class ExpertCountDelta {
  #last: RankTally | undefined;

  private constructor() {}

  /**
   * Creates a difference that knows no counts.
   *
   * @example
   * const difference = TallyDifference.create();
   */
  static create(): ExpertCountDelta {
    return new ExpertCountDelta();
  }

  /** Takes counts; undefined for the first ones. An engine that started anew counts from zero. */
  record(current: RankTally): RankIncrease | undefined {
    const last = this.#last;
    this.#last = current;
    if (last === undefined) {
      return undefined;
    }
    const isReset = current.counts.some((set, index) =>
      set.some((count, expert) => count < (last.counts[index]?.[expert] ?? 0)),
    );
    const added = current.counts.map((set, index) =>
      set.map((count, expert) => count - (isReset ? 0 : (last.counts[index]?.[expert] ?? 0))),
    );
    const unit = Math.max(1, Math.ceil(Math.max(0, ...added.flat()) / MAX_ONE_BYTE_INTEGER));
    return {
      counts: added.map((set) => set.map((count) => Math.round(count / unit))),
      unit,
      mapVersion: current.mapVersion,
      experts: current.experts,
    };
  }
}
