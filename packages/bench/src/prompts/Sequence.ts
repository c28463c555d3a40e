/** @module A request at a rank of the modelled group. */
import type { RequestSize } from '@ebonysill/scheduling';

/** A request whose prompt is read, and which then has an event in each pass. */
export default class Sequence {
  #eventCount = 0;

  private constructor(
    readonly id: number,
    readonly rank: number,
    private unread: number,
    private readonly answerTokens: number,
  ) {}

  /**
   * Creates a request whose prompt has not been read.
   *
   * @example
   * const sequence = Sequence.create(1, 3, { promptTokens: 800, answerTokens: 23 });
   */
  static create(id: number, rank: number, { promptTokens, answerTokens }: RequestSize): Sequence {
    return new Sequence(id, rank, promptTokens, answerTokens);
  }

  get unreadTokens(): number {
    return this.unread;
  }

  get hasBegun(): boolean {
    return this.#eventCount > 0;
  }

  get hasEnded(): boolean {
    return this.#eventCount >= this.answerTokens;
  }

  /** Reads up to a number of tokens of the prompt; returns how many. */
  read(maxTokens: number): number {
    const tokens = Math.min(maxTokens, this.unread);
    this.unread -= tokens;
    return tokens;
  }

  recordEvent(): void {
    this.#eventCount += 1;
  }
}
