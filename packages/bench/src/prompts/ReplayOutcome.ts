/** @module How a request of a replay fared. */
import type { PromptRequest } from './prompt-mix.js';

/** Times of a request's events, and how often it was rejected. */
export default class ReplayOutcome {
  /** Time to the first event; undefined for a request that was refused. */
  firstEventMs: number | undefined;

  longestGapMs = 0;

  rejectionCount = 0;

  #lastEventAtMs = 0;

  private constructor(readonly request: PromptRequest) {}

  /**
   * Creates the outcome of a request that has not been answered.
   *
   * @example
   * const outcome = ReplayOutcome.create(request);
   */
  static create(request: PromptRequest): ReplayOutcome {
    return new ReplayOutcome(request);
  }

  recordRejection(): void {
    this.rejectionCount += 1;
  }

  recordEvent(nowMs: number): void {
    if (this.firstEventMs === undefined) {
      this.firstEventMs = nowMs - this.request.atMs;
    } else {
      this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.#lastEventAtMs);
    }
    this.#lastEventAtMs = nowMs;
  }
}
