/** @module Turns the cumulative expert counts of an engine into differences between two reads. */
import type { RankCountDelta, RankCounts } from '@ebonysill/gateway';

/** Greatest integer that MessagePack encodes in one byte. */
const MAX_ONE_BYTE_INTEGER = 127;

/** Difference between the last two counts of one engine. */
export default class ExpertCountDelta {
  #last: RankCounts | undefined;

  private constructor() {}

  /**
   * Creates an instance that has no counts yet.
   *
   * @example
   * const countDelta = ExpertCountDelta.create();
   */
  static create(): ExpertCountDelta {
    return new ExpertCountDelta();
  }

  /**
   * Returns what was counted since the last call, in multiples of a unit with which each count fits
   * one byte; undefined at the first call. If any count has shrunk, the engine has restarted and
   * counts from zero.
   */
  record(current: RankCounts): RankCountDelta | undefined {
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
