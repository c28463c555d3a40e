/** @module Estimates how popular each expert is, from counts that only grow. */
import type { RankTally } from '@ebonysill/gateway';
import type { Popularity } from './placement.js';

/** What is left of old choices after a second; popularity shifts within a few seconds. */
const DECAY_PER_SECOND = 0.15;

const MS_PER_SECOND = 1_000;

interface LastCounts {
  readonly epoch: number;
  readonly counts: Popularity;
}

/** Sums the choices of all ranks, the recent ones with more weight. */
export default class PopularityMeter {
  readonly #last = new Map<number, LastCounts>();

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

  /** Takes the counts of one rank; those of a rank that started anew begin at zero. */
  note(rank: number, { epoch, counts }: RankTally): void {
    this.#decay();
    const last = this.#last.get(rank);
    this.#last.set(rank, { epoch, counts });
    if (last === undefined) {
      return;
    }
    counts.forEach((set, index) => {
      const sums = this.#sums[index] ?? set.map(() => 0);
      this.#sums[index] = sums;
      const before = last.counts[index] ?? [];
      const isReset = set.some((count, expert) => count < (before[expert] ?? 0));
      set.forEach((count, expert) => {
        const added = isReset ? count : count - (before[expert] ?? 0);
        sums[expert] = (sums[expert] ?? 0) + added;
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
