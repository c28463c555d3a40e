/** @module A caller that obtains a key where it needs one, and sends again when it must. */
import { CallerIntent, Outcome } from '@ebonysill/core';
import { AnswerState, type CallerAnswer } from './caller-answer.js';
import type { Emulation } from './emulation.js';

/** What a caller wants, and how often it tries. */
export interface CallPlan {
  readonly service: string;
  readonly body: string;
  readonly organisationId: string;
  readonly isKeyed: boolean;
  /** Key to use, obtained earlier. */
  readonly key?: string;
  /** Entry processes in the order in which it turns to them. */
  readonly entryIds: readonly string[];
  readonly maxSends: number;
  /** Time after which it gives up waiting and sends again. */
  readonly patienceMs: number;
}

/** One send of a call. */
export interface CallSend {
  readonly exchangeId: string;
  readonly body: string;
}

/** Time between looks at an answer. */
const POLL_INTERVAL_MS = 10;

/** Time before it sends again. */
const RESEND_DELAY_MS = 200;

/** Acts for one caller with one operation. */
export class CallerAgent {
  #key: string | undefined;

  #sendCount = 0;

  #finalAnswer: CallerAnswer | undefined;

  /** Every send of the call itself, in order. */
  readonly sends: CallSend[] = [];

  private constructor(
    private readonly emulation: Emulation,
    readonly plan: CallPlan,
  ) {
    this.#key = plan.key;
  }

  /**
   * Creates a caller and lets it begin.
   *
   * @example
   * const agent = CallerAgent.create(emulation, plan);
   */
  static create(emulation: Emulation, plan: CallPlan): CallerAgent {
    const agent = new CallerAgent(emulation, plan);
    agent.#sendRequest();
    return agent;
  }

  /** The answer that the caller settled for, once it has. */
  get final(): CallerAnswer | undefined {
    return this.#finalAnswer;
  }

  /** The key of the call, once minted. */
  get key(): string | undefined {
    return this.#key;
  }

  #sendRequest(): void {
    const isMint = this.plan.isKeyed && this.#key === undefined;
    const entryId = this.plan.entryIds[this.#sendCount % this.plan.entryIds.length] ?? '';
    this.#sendCount += 1;
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
    this.#pollAnswer(exchangeId, this.emulation.time.nowMs + this.plan.patienceMs);
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
