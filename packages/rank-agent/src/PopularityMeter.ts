/** @module Estimates how popular each expert is, from what ranks tell of their choices. */
import type { RankIncrease } from '@ebonysill/gateway';
import type { Popularity } from './placement.js';

/** What is left of old choices after a second; popularity shifts within a few seconds. */
const DECAY_PER_SECOND = 0.15;

const MS_PER_SECOND = 1_000;

/** Sums the choices of all ranks, the recent ones with more weight. */
export default class PopularityMeter {
  #sums: number[][] = [];

  #decayedAtMs: number;

  private constructor(private readonly nowMs: () => number) {
    this.#decayedAtMs = nowMs();
  }

  /**
   * Creates a meter without choices.
   *
   * @example
   * const meter = PopularityMeter.create(runtime.nowMs);
   */
  static create(nowMs: () => number): PopularityMeter {
    return new PopularityMeter(nowMs);
  }

  /** Takes the choices that one rank tells. */
  record({ counts, unit }: RankIncrease): void {
    this.#decay();
    counts.forEach((set, index) => {
      const sums = this.#sums[index] ?? set.map(() => 0);
      this.#sums[index] = sums;
      set.forEach((count, expert) => {
        sums[expert] = (sums[expert] ?? 0) + count * unit;
      });
    });
  }

  /** The estimate, in choices. */
  estimate(): Popularity {
    this.#decay();
    return this.#sums;
  }

  /** Choices that the estimate rests on. */
  total(): number {
    return this.#sums.reduce(
      (sum, set) => sum + set.reduce((setSum, count) => setSum + count, 0),
      0,
    );
  }

  #decay(): void {
    const nowMs = this.nowMs();
    const factor = DECAY_PER_SECOND ** ((nowMs - this.#decayedAtMs) / MS_PER_SECOND);
    this.#decayedAtMs = nowMs;
    this.#sums = this.#sums.map((set) => set.map((count) => count * factor));
  }
}
