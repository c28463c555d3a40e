/** @module Estimates the popularity of experts from the activation counts that ranks report. */
import {
  ageMsOf,
  momentNow,
  type Moment,
  type RankCountDelta,
  type Runtime,
} from '@ebonysill/gateway';
import type { Popularity } from './placement.js';

/** Share of a count that remains after one second; popularity shifts within a few seconds. */
const DECAY_PER_SECOND = 0.15;

const MS_PER_SECOND = 1_000;

/** Sum of the activations at all ranks, with exponential decay. */
export default class PopularityMeter {
  #sums: number[][] = [];

  #decayedAt: Moment;

  private constructor(private readonly runtime: Runtime) {
    this.#decayedAt = momentNow(runtime);
  }

  /**
   * Creates a meter without any counts.
   *
   * @example
   * const meter = PopularityMeter.create(runtime);
   */
  static create(runtime: Runtime): PopularityMeter {
    return new PopularityMeter(runtime);
  }

  /** Adds the activations that one rank has reported. */
  record({ counts, unit }: RankCountDelta): void {
    this.#decay();
    counts.forEach((set, index) => {
      const sums = this.#sums[index] ?? set.map(() => 0);
      this.#sums[index] = sums;
      set.forEach((count, expert) => {
        sums[expert] = (sums[expert] ?? 0) + count * unit;
      });
    });
  }

  /** Decayed number of activations, by layer set and expert. */
  estimate(): Popularity {
    this.#decay();
    return this.#sums;
  }

  /** Sum of the counts as of the last decay. */
  total(): number {
    return this.#sums.reduce(
      (sum, set) => sum + set.reduce((setSum, count) => setSum + count, 0),
      0,
    );
  }

  #decay(): void {
    const elapsedMs = ageMsOf(this.runtime, this.#decayedAt);
    const factor = DECAY_PER_SECOND ** (elapsedMs / MS_PER_SECOND);
    this.#decayedAt = momentNow(this.runtime);
    this.#sums = this.#sums.map((set) => set.map((count) => count * factor));
  }
}
