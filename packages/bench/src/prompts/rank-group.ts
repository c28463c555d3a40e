/**
 * @module Model of a group of ranks that execute each pass together.
 *
 * A pass consists of steps. A step lasts as long as its slowest rank, which runs its sequences and
 * reads at most one chunk of prompts, one prompt after the other. A sequence has its first event at
 * the end of the pass in which its prompt has been read, and one more at the end of each later pass.
 */

import type Sequence from './Sequence.js';

/** Speeds and sizes of the ranks. */
export interface RankSpeeds {
  readonly slots: number;
  /** Requests that wait at a rank at most. */
  readonly maxWaitingCount: number;
  readonly stepsPerPass: number;
  readonly stepMs: number;
  readonly perSequenceMs: number;
  readonly readTokensPerSecond: number;
  readonly chunkTokens: number;
}

/** What the end of a pass yields. */
export interface PassResult {
  /** Requests with their first event. */
  readonly begun: readonly Sequence[];
  /** Requests with a further event. */
  readonly progressed: readonly Sequence[];
  readonly ended: readonly Sequence[];
}

interface Rank {
  readonly running: Sequence[];
  readonly waiting: Sequence[];
}

const MS_PER_SECOND = 1_000;

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Ranks with the requests that run and wait there. */
export class RankGroup {
  readonly #ranks: readonly Rank[];

  private constructor(
    rankCount: number,
    private readonly speeds: RankSpeeds,
  ) {
    this.#ranks = Array.from({ length: rankCount }, () => ({ running: [], waiting: [] }));
  }

  /**
   * Creates a group of idle ranks.
   *
   * @example
   * const group = RankGroup.create(24, speeds);
   */
  static create(rankCount: number, speeds: RankSpeeds): RankGroup {
    return new RankGroup(rankCount, speeds);
  }

  /** Accepts a request, or rejects it when its rank has no room; false then. */
  submit(sequence: Sequence): boolean {
    const { running, waiting } = this.#rankOf(sequence.rank);
    if (running.length < this.speeds.slots) {
      running.push(sequence);
      return true;
    }
    if (waiting.length < this.speeds.maxWaitingCount) {
      waiting.push(sequence);
      return true;
    }
    return false;
  }

  /** Requests that run or wait at a rank. */
  countAt(rank: number): number {
    const { running, waiting } = this.#rankOf(rank);
    return running.length + waiting.length;
  }

  /** Prompt tokens that a rank has still to read. */
  unreadTokensAt(rank: number): number {
    const { running, waiting } = this.#rankOf(rank);
    return sumOf([...running, ...waiting].map(({ unreadTokens }) => unreadTokens));
  }

  /** Executes the steps of a pass; returns its duration. */
  runPass(): number {
    return sumOf(Array.from({ length: this.speeds.stepsPerPass }, () => this.#runStep()));
  }

  /** Ends a pass: requests have their events, and those that waited take the places of others. */
  endPass(): PassResult {
    const begun: Sequence[] = [];
    const progressed: Sequence[] = [];
    const ended: Sequence[] = [];
    this.#ranks.forEach(({ running, waiting }) => {
      running
        .filter(({ unreadTokens }) => unreadTokens === 0)
        .forEach((sequence) => {
          (sequence.hasBegun ? progressed : begun).push(sequence);
          sequence.recordEvent();
          if (sequence.hasEnded) {
            ended.push(sequence);
            running.splice(running.indexOf(sequence), 1);
          }
        });
      running.push(...waiting.splice(0, this.speeds.slots - running.length));
    });
    return { begun, progressed, ended };
  }

  #rankOf(index: number): Rank {
    const rank = this.#ranks[index];
    if (rank === undefined) {
      throw new RangeError(`no rank ${index}`);
    }
    return rank;
  }

  /** Executes a step on all ranks; returns its duration. */
  #runStep(): number {
    const { stepMs } = this.speeds;
    return stepMs + Math.max(0, ...this.#ranks.map((rank) => this.#workRank(rank)));
  }

  /** Executes a step on one rank; returns the time by which its sequences and prompts lengthen it. */
  #workRank({ running }: Rank): number {
    const { perSequenceMs, readTokensPerSecond, chunkTokens } = this.speeds;
    let leftTokens = chunkTokens;
    running.forEach((sequence) => {
      leftTokens -= sequence.read(leftTokens);
    });
    const readMs = ((chunkTokens - leftTokens) * MS_PER_SECOND) / readTokensPerSecond;
    return running.length * perSequenceMs + readMs;
  }
}
