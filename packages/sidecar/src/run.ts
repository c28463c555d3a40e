/** @module One run of a request on the target, and those who wait for its answer. */
import { Continuation, type Effect, type RunHistory, type RunMessage } from '@ebonysill/core';
import { AnswerBuffer } from './answer-buffer.js';
import { Subscriber, type AnswerHead } from './subscriber.js';

/** How far a run has come. */
export enum RunState {
  /** In the queue; nothing was written to the target. */
  Waiting = 'waiting',
  /** Handed to the target. */
  Running = 'running',
  /** The call failed; the target's health decides what that means. */
  AwaitingHealth = 'awaiting-health',
  /** Given up; the target may not have noticed yet. */
  Aborting = 'aborting',
  /** The whole answer is here; parts of it may not have been sent on. */
  Answered = 'answered',
}

/** What a run is created from. */
export interface RunOptions {
  readonly callId: string;
  readonly linkId: string;
  readonly message: RunMessage;
  readonly history: RunHistory;
  readonly nowMs: number;
}

/** A run and its answer so far. */
export class Run {
  readonly callId: string;

  readonly message: RunMessage;

  readonly history: RunHistory;

  readonly startedMs: number;

  readonly answer: AnswerBuffer;

  /** Chunks that the engine is told to leave out. */
  readonly resumeCount: number;

  #state = RunState.Waiting;

  #subscribers: readonly Subscriber[] = [];

  #head: AnswerHead | undefined;

  #isPaused = false;

  private constructor({ callId, linkId, message, history, nowMs }: RunOptions) {
    this.callId = callId;
    this.message = message;
    this.history = history;
    this.startedMs = nowMs;
    const { recordId } = history;
    this.resumeCount =
      message.continuation === Continuation.Resume && recordId === undefined
        ? message.deliveredCount
        : 0;
    this.answer = AnswerBuffer.create(this.resumeCount, recordId !== undefined);
    this.subscribe(linkId, message);
  }

  /**
   * Creates a run that waits.
   *
   * @example
   * const run = Run.create({ callId, linkId, message, history, nowMs });
   */
  static create(options: RunOptions): Run {
    return new Run(options);
  }

  /** Record in the key ledger; undefined where there is none. */
  get recordId(): number | undefined {
    return this.history.recordId;
  }

  /** How far the run has come. */
  get state(): RunState {
    return this.#state;
  }

  /** Those who wait for the answer. */
  get subscribers(): readonly Subscriber[] {
    return this.#subscribers;
  }

  /** Status and content type of the answer, once known. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  /** Moves the run on. */
  setState(state: RunState): void {
    this.#state = state;
  }

  /** Notes how the answer begins. */
  setHead(head: AnswerHead): void {
    this.#head = head;
  }

  /** Adds someone who waits for the answer. */
  subscribe(linkId: string, { runId, deliveredCount }: RunMessage): void {
    const subscriber = Subscriber.create({ linkId, runId, deliveredCount });
    this.#subscribers = [...this.#subscribers, subscriber];
  }

  /** Removes those that a test selects; returns them. */
  unsubscribe(isSelected: (subscriber: Subscriber) => boolean): readonly Subscriber[] {
    const removed = this.#subscribers.filter(isSelected);
    this.#subscribers = this.#subscribers.filter((subscriber) => !removed.includes(subscriber));
    return removed;
  }

  /** Sends on what the subscribers' credit allows, and forgets what nobody needs. */
  relay(): readonly Effect[] {
    const effects = this.#subscribers.flatMap((subscriber) =>
      subscriber.sendAvailable(this.#head, this.answer),
    );
    this.answer.discardBefore(
      Math.min(...this.#subscribers.map(({ nextSequence }) => nextSequence)),
    );
    return effects;
  }

  /** Whether a subscriber has received the whole answer. */
  hasReceivedAll({ nextSequence }: Subscriber): boolean {
    return this.#state === RunState.Answered && nextSequence >= this.answer.knownCount;
  }

  /** Whether reading the target's answer must change between paused and not. */
  updatePause(): boolean {
    const shouldPause =
      this.#state === RunState.Running &&
      !this.answer.isRecorded &&
      this.#subscribers.some(({ isOutOfCredit }) => isOutOfCredit);
    const isChange = shouldPause !== this.#isPaused;
    this.#isPaused = shouldPause;
    return isChange;
  }

  /** Whether reading the target's answer is paused. */
  get isPaused(): boolean {
    return this.#isPaused;
  }
}
