/** @module One run of a request on the target, and the subscribers to its answer. */
import { Continuation, type Effect, type RunHistory, type RunMessage } from '@ebonysill/core';
import { AnswerBuffer } from './answer-buffer.js';
import { Subscriber, type AnswerHead } from './subscriber.js';

/** Stage of a run. */
export enum RunState {
  /** In the queue; nothing was written to the target. */
  Waiting = 'waiting',
  /** Sent to the target. */
  Running = 'running',
  /** The call failed; the target's health decides whether that counts as a crash. */
  AwaitingHealth = 'awaiting-health',
  /** Aborted; the target may not have noticed yet. */
  Aborting = 'aborting',
  /** The whole answer was received; parts of it may not have been relayed yet. */
  Answered = 'answered',
}

/** Options of {@link Run.create}. */
export interface RunOptions {
  readonly callId: string;
  readonly linkId: string;
  readonly message: RunMessage;
  readonly history: RunHistory;
  readonly nowMs: number;
}

/** State of a run, with its subscribers and the answer received so far. */
export class Run {
  /** Id of the call to the target; a run id identifies the attempt of a subscriber. */
  readonly callId: string;

  readonly message: RunMessage;

  readonly history: RunHistory;

  readonly acceptedAtMs: number;

  readonly answer: AnswerBuffer;

  /** Chunks that the engine is asked to leave out, because the caller received them earlier. */
  readonly resumeCount: number;

  #state = RunState.Waiting;

  #subscribers: readonly Subscriber[] = [];

  #head: AnswerHead | undefined;

  #isPaused = false;

  private constructor({ callId, linkId, message, history, nowMs }: RunOptions) {
    this.callId = callId;
    this.message = message;
    this.history = history;
    this.acceptedAtMs = nowMs;
    const { recordId } = history;
    this.resumeCount =
      message.continuation === Continuation.Resume && recordId === undefined
        ? message.deliveredCount
        : 0;
    this.answer = AnswerBuffer.create(this.resumeCount, recordId !== undefined);
    this.subscribe(linkId, message);
  }

  /**
   * Creates a waiting run, whose first subscriber is the sender of the message.
   *
   * @example
   * const run = Run.create({ callId, linkId, message, history, nowMs });
   */
  static create(options: RunOptions): Run {
    return new Run(options);
  }

  /** Id of the run's record in the key ledger; undefined if there is none. */
  get recordId(): number | undefined {
    return this.history.recordId;
  }

  get state(): RunState {
    return this.#state;
  }

  get subscribers(): readonly Subscriber[] {
    return this.#subscribers;
  }

  /** Status and content type of the answer, once known. */
  get head(): AnswerHead | undefined {
    return this.#head;
  }

  setState(state: RunState): void {
    this.#state = state;
  }

  setHead(head: AnswerHead): void {
    this.#head = head;
  }

  subscribe(linkId: string, { runId, deliveredCount }: RunMessage): void {
    const subscriber = Subscriber.create({ linkId, runId, deliveredCount });
    this.#subscribers = [...this.#subscribers, subscriber];
  }

  /** Removes the selected subscribers; returns them. */
  unsubscribe(isSelected: (subscriber: Subscriber) => boolean): readonly Subscriber[] {
    const removed = this.#subscribers.filter(isSelected);
    this.#subscribers = this.#subscribers.filter((subscriber) => !removed.includes(subscriber));
    return removed;
  }

  /** Sends what the subscribers' credit allows; discards chunks that were sent to all of them. */
  relay(): readonly Effect[] {
    const effects = this.#subscribers.flatMap((subscriber) =>
      subscriber.sendAvailable(this.#head, this.answer),
    );
    this.answer.discardBefore(
      Math.min(...this.#subscribers.map(({ nextSequence }) => nextSequence)),
    );
    return effects;
  }

  /** Whether the whole answer was sent to a subscriber. */
  hasSentAll({ nextSequence }: Subscriber): boolean {
    return this.#state === RunState.Answered && nextSequence >= this.answer.knownCount;
  }

  /**
   * Decides whether reading the target's answer is paused; returns whether that changed. It is
   * paused while any subscriber is out of credit, unless the answer is recorded, since recording
   * bounds its size.
   */
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
