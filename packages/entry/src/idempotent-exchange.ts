/** @module State of one idempotent request and its attempts. */
import { Continuation, Outcome, type Call, type Peer, type Problem } from '@ebonysill/core';
import CreditMeter from './CreditMeter.js';

/** First delay before targets are tried again when none can take the request. */
const RETRY_DELAY_BASE_MS = 25;

/** Longest such delay. */
const RETRY_DELAY_MAX_MS = 800;

/** Delivered text that is kept for a continued stream. */
const MAX_DELIVERED_CHARS = 1_048_576;

/** One attempt on one target. */
export interface Attempt {
  readonly runId: string;
  readonly peer: Peer;
  readonly credit: CreditMeter;
}

/** What became of an arriving chunk. */
export enum Delivery {
  /** Next in order: goes to the caller. */
  Next = 'next',
  /** Delivered before. */
  Repeated = 'repeated',
  /** Something before it is missing. */
  Gap = 'gap',
}

/** Follows one request. */
export class IdempotentExchange {
  #attempts: readonly Attempt[] = [];

  #attemptCount = 0;

  #retryDelayCount = 0;

  #failedTargets: readonly string[] = [];

  #isHeadSent = false;

  #deliveredCount = 0;

  #deliveredText = '';

  #mayHaveRun = false;

  #lastProblem: Problem | undefined;

  private constructor(readonly call: Call) {}

  /**
   * Creates the state of a request without attempts.
   *
   * @example
   * const exchange = IdempotentExchange.create(call);
   */
  static create(call: Call): IdempotentExchange {
    return new IdempotentExchange(call);
  }

  /** Attempts in progress. */
  get attempts(): readonly Attempt[] {
    return this.#attempts;
  }

  /** Whether an attempt was ever started. */
  get wasAttempted(): boolean {
    return this.#attemptCount > 0;
  }

  /** Whether the answer to the caller has begun. */
  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  /** Chunks delivered to the caller. */
  get deliveredCount(): number {
    return this.#deliveredCount;
  }

  /** Text delivered to the caller; kept only for engines that resume. */
  get deliveredText(): string {
    return this.#deliveredText;
  }

  /** Whether some attempt may have run, at least in part. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Why the last attempt failed. */
  get lastProblem(): Problem | undefined {
    return this.#lastProblem;
  }

  /** Targets not to choose now. */
  get unavailableTargets(): readonly string[] {
    return [...this.#failedTargets, ...this.#attempts.map(({ peer }) => peer.processId)];
  }

  /** The attempt with this id. */
  attempt(runId: string): Attempt | undefined {
    return this.#attempts.find((attempt) => attempt.runId === runId);
  }

  /** Attempts on one link. */
  attemptsOn(linkId: string): readonly Attempt[] {
    return this.#attempts.filter(({ peer }) => peer.linkId === linkId);
  }

  /** Adds an attempt. */
  addAttempt(runId: string, peer: Peer): void {
    this.#attempts = [...this.#attempts, { runId, peer, credit: CreditMeter.create() }];
    this.#attemptCount += 1;
  }

  /** Removes an attempt that ended. */
  removeAttempt(attempt: Attempt): void {
    this.#attempts = this.#attempts.filter((other) => other !== attempt);
  }

  /** Notes why an attempt failed, and leaves its target out for now. */
  recordFailure(attempt: Attempt, problem: Problem): void {
    this.#failedTargets = [...this.#failedTargets, attempt.peer.processId];
    this.#lastProblem = problem;
    this.#mayHaveRun ||= problem.outcome !== Outcome.RefusedNotRun;
  }

  /** Notes that attempts in progress may run on although nobody waits for them. */
  markMayHaveRun(): void {
    this.#mayHaveRun ||= this.#attempts.length > 0;
  }

  /** Allows every target again, after a delay. */
  clearFailedTargets(): void {
    this.#failedTargets = [];
  }

  /** Delay before the next look for a target; grows, with jitter. */
  nextRetryDelayMs(random: () => number): number {
    const longestMs = Math.min(
      RETRY_DELAY_BASE_MS * 2 ** this.#retryDelayCount,
      RETRY_DELAY_MAX_MS,
    );
    this.#retryDelayCount += 1;
    return longestMs * (0.5 + random() / 2);
  }

  /** Notes that the answer to the caller has begun. */
  markHeadSent(): void {
    this.#isHeadSent = true;
  }

  /** Takes a chunk by its position in the whole answer. */
  acceptChunk(sequence: number, data: string): Delivery {
    if (sequence < this.#deliveredCount) {
      return Delivery.Repeated;
    }
    if (sequence > this.#deliveredCount || !this.#isHeadSent) {
      return Delivery.Gap;
    }
    this.#deliveredCount += 1;
    if (this.call.service.continuation === Continuation.Resume) {
      this.#deliveredText += data;
    }
    return Delivery.Next;
  }

  /** Whether a cut answer can go on at another target. */
  get canContinue(): boolean {
    const { continuation } = this.call.service;
    switch (continuation) {
      case Continuation.Resume:
        return this.#deliveredText.length <= MAX_DELIVERED_CHARS;
      case Continuation.DeterministicRestart:
        return true;
      case Continuation.None:
        return this.#deliveredCount === 0;
      default:
        return continuation satisfies never;
    }
  }
}
