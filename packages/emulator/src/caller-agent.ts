/**
 * @module An emulated caller that requests an idempotency key if the call needs one, and retries.
 */
import { CallerIntent, Outcome } from '@ebonysill/core';
import { AnswerState, type CallerAnswer } from './caller-answer.js';
import type { Emulation } from './emulation.js';

/** One operation of a caller and its retry rules. */
export interface CallPlan {
  readonly service: string;
  readonly body: string;
  readonly organisationId: string;
  readonly isKeyed: boolean;
  /** Idempotency key obtained earlier; if absent, a keyed call requests one first. */
  readonly key?: string;
  /** Entry processes in the order in which they are tried; starts over after the last. */
  readonly entryIds: readonly string[];
  /** No retry follows once this many requests were sent, those for a key included. */
  readonly maxSends: number;
  /** Time after which the caller stops waiting for an answer and sends again. */
  readonly answerTimeoutMs: number;
}

/** One request that was sent to run the call. */
export interface CallSend {
  readonly exchangeId: string;
  readonly body: string;
}

const POLL_INTERVAL_MS = 10;

const RESEND_DELAY_MS = 200;

/** Sends one operation of one caller, and retries until its answer is final. */
export class CallerAgent {
  #key: string | undefined;

  #sendCount = 0;

  #finalAnswer: CallerAnswer | undefined;

  /** Requests sent to run the call, in order; those for a key are left out. */
  readonly sends: CallSend[] = [];

  private constructor(
    private readonly emulation: Emulation,
    readonly plan: CallPlan,
  ) {
    this.#key = plan.key;
  }

  /**
   * Creates a caller and sends its first request.
   *
   * @example
   * const agent = CallerAgent.create(emulation, plan);
   */
  static create(emulation: Emulation, plan: CallPlan): CallerAgent {
    const agent = new CallerAgent(emulation, plan);
    agent.#sendRequest();
    return agent;
  }

  /** The answer after which the caller sends no more; undefined until then. */
  get finalAnswer(): CallerAnswer | undefined {
    return this.#finalAnswer;
  }

  /** The idempotency key of the call, if it has one already. */
  get key(): string | undefined {
    return this.#key;
  }

  #sendRequest(): void {
    const isMint = this.plan.isKeyed && this.#key === undefined;
    const entryId = this.plan.entryIds[this.#sendCount % this.plan.entryIds.length] ?? '';
    this.#sendCount += 1;
    // Each send of a call without a key has a body of its own, so that its runs are counted apart.
    const body = this.plan.isKeyed ? this.plan.body : `${this.plan.body}#${this.#sendCount}`;
    const exchangeId = this.emulation.request(entryId, {
      intent: isMint ? CallerIntent.MintKey : CallerIntent.Run,
      service: this.plan.service,
      method: 'POST',
      path: '/call',
      contentType: '',
      body: isMint ? '' : body,
      credential: this.plan.organisationId,
      priority: 5,
      ...(this.#key === undefined ? {} : { idempotencyKey: this.#key }),
    });
    if (!isMint) {
      this.sends.push({ exchangeId, body });
    }
    this.#pollAnswer(exchangeId, this.emulation.time.nowMs + this.plan.answerTimeoutMs);
  }

  #pollAnswer(exchangeId: string, timeoutAtMs: number): void {
    this.emulation.time.schedule(POLL_INTERVAL_MS, () => {
      const answer = this.emulation.answer(exchangeId);
      if (answer.state === AnswerState.Waiting && this.emulation.time.nowMs < timeoutAtMs) {
        this.#pollAnswer(exchangeId, timeoutAtMs);
      } else {
        this.#onAnswer(answer);
      }
    });
  }

  #onAnswer(answer: CallerAnswer): void {
    if (answer.idempotencyKey !== undefined) {
      this.#key = answer.idempotencyKey;
      this.#sendRequest();
      return;
    }
    const isFinal =
      answer.state === AnswerState.Ended ||
      (answer.problem?.outcome === Outcome.RefusedNotRun && this.#key !== undefined);
    if (isFinal || this.#sendCount >= this.plan.maxSends) {
      this.#finalAnswer = answer;
      return;
    }
    this.emulation.time.schedule(RESEND_DELAY_MS, () => this.#sendRequest());
  }
}
