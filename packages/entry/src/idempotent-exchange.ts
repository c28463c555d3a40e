/** @module State of one idempotent request and its attempts. */
import {
  Continuation,
  Outcome,
  type Call,
  type Peer,
  type Problem,
  type RunHeadMessage,
} from '@ebonysill/core';
import CreditMeter from './CreditMeter.js';

/** First delay before the next search for a target when none can accept the request. */
const RETRY_DELAY_BASE_MS = 25;

/** Upper bound of that delay, which doubles with each search. */
const RETRY_DELAY_MAX_MS = 800;

/** Longest delivered text with which an interrupted stream can be resumed. */
const MAX_DELIVERED_CHARS = 1_048_576;

/** One attempt on one target. */
export interface Attempt {
  readonly runId: string;
  readonly peer: Peer;
  readonly credit: CreditMeter;
}

/** What must be alike in two answers of which one continues the other. */
type AnswerHead = Pick<RunHeadMessage, 'status' | 'contentType'>;

/** How an arriving chunk relates to those delivered before. */
export enum Delivery {
  /** Next in order, to be sent to the caller. */
  Next = 'next',
  /** Delivered before. */
  Repeated = 'repeated',
  /** The head or a chunk before it is missing. */
  Gap = 'gap',
}

/** Tracks the attempts of one request and what its caller has received. */
export class IdempotentExchange {
  #attempts: readonly Attempt[] = [];

  #attemptCount = 0;

  #retryDelayCount = 0;

  #failedTargets: readonly string[] = [];

  #head: AnswerHead | undefined;

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
    return this.#head !== undefined;
  }

  /** Chunks delivered to the caller. */
  get deliveredCount(): number {
    return this.#deliveredCount;
  }

  /** Text delivered to the caller; kept only for services whose streams can be resumed. */
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

  /** Targets not to choose: those that failed and those with an attempt in progress. */
  get unavailableTargets(): readonly string[] {
    return [...this.#failedTargets, ...this.#attempts.map(({ peer }) => peer.processId)];
  }

  attempt(runId: string): Attempt | undefined {
    return this.#attempts.find((attempt) => attempt.runId === runId);
  }

  attemptsOn(linkId: string): readonly Attempt[] {
    return this.#attempts.filter(({ peer }) => peer.linkId === linkId);
  }

  addAttempt(runId: string, peer: Peer): void {
    this.#attempts = [...this.#attempts, { runId, peer, credit: CreditMeter.create() }];
    this.#attemptCount += 1;
  }

  removeAttempt(attempt: Attempt): void {
    this.#attempts = this.#attempts.filter((other) => other !== attempt);
  }

  /** Records why an attempt failed; its target is left out until {@link clearFailedTargets}. */
  recordFailure(attempt: Attempt, problem: Problem): void {
    this.#failedTargets = [...this.#failedTargets, attempt.peer.processId];
    this.#lastProblem = problem;
    this.#mayHaveRun ||= problem.outcome !== Outcome.RefusedNotRun;
  }

  /** Records that attempts in progress may still run to their end once the request is abandoned. */
  recordAttemptsInProgress(): void {
    this.#mayHaveRun ||= this.#attempts.length > 0;
  }

  /** Makes the targets of failed attempts eligible again, after a delay. */
  clearFailedTargets(): void {
    this.#failedTargets = [];
  }

  /** Delay before the next search for a target: exponential backoff with jitter. */
  nextRetryDelayMs(random: () => number): number {
    const longestMs = Math.min(
      RETRY_DELAY_BASE_MS * 2 ** this.#retryDelayCount,
      RETRY_DELAY_MAX_MS,
    );
    this.#retryDelayCount += 1;
    return longestMs * (0.5 + random() / 2);
  }

  /** Records that the answer to the caller has begun. */
  markHeadSent({ status, contentType }: AnswerHead): void {
    this.#head = { status, contentType };
  }

  /** Whether an answer with this head can continue the one that the caller receives. */
  continuesWith({ status, contentType }: AnswerHead): boolean {
    return this.#head?.status === status && this.#head.contentType === contentType;
  }

  /** Checks a chunk by its position in the whole answer, and records it if it is the next. */
  acceptChunk(sequence: number, data: string): Delivery {
    if (sequence < this.#deliveredCount) {
      return Delivery.Repeated;
    }
    if (sequence > this.#deliveredCount || !this.isHeadSent) {
      return Delivery.Gap;
    }
    this.#deliveredCount += 1;
    if (this.call.service.continuation === Continuation.Resume) {
      this.#deliveredText += data;
    }
    return Delivery.Next;
  }

  /** Whether another target can continue an interrupted answer. */
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
