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
  /** Entry processes in the order in which it turns to them. */
  readonly entryIds: readonly string[];
  readonly maxSends: number;
  /** Time after which it gives up waiting and sends again. */
  readonly patienceMs: number;
}

/** Time between looks at an answer. */
const POLL_MS = 10;

/** Time before it sends again. */
const RESEND_DELAY_MS = 200;

/** Acts for one caller with one operation. */
export class CallerAgent {
  #key: string | undefined;

  #sendCount = 0;

  #final: CallerAnswer | undefined;

  /** Every answer to the call itself, in the order of the sends. */
  readonly exchangeIds: string[] = [];

  private constructor(
    private readonly emulation: Emulation,
    readonly plan: CallPlan,
  ) {}

  /**
   * Creates a caller and lets it begin.
   *
   * @example
   * const agent = CallerAgent.create(emulation, plan);
   */
  static create(emulation: Emulation, plan: CallPlan): CallerAgent {
    const agent = new CallerAgent(emulation, plan);
    agent.#next();
    return agent;
  }

  /** The answer that the caller settled for, once it has. */
  get final(): CallerAnswer | undefined {
    return this.#final;
  }

  /** The key of the call, once minted. */
  get key(): string | undefined {
    return this.#key;
  }

  #next(): void {
    const isMint = this.plan.isKeyed && this.#key === undefined;
    const entryId = this.plan.entryIds[this.#sendCount % this.plan.entryIds.length] ?? '';
    this.#sendCount += 1;
    const exchangeId = this.emulation.request(entryId, {
      intent: isMint ? CallerIntent.MintKey : CallerIntent.Run,
      service: this.plan.service,
      method: 'POST',
      path: '/call',
      contentType: '',
      body: isMint ? '' : this.plan.body,
      credential: this.plan.organisationId,
      priority: 5,
      ...(this.#key === undefined ? {} : { idempotencyKey: this.#key }),
    });
    if (!isMint) {
      this.exchangeIds.push(exchangeId);
    }
    this.#watch(exchangeId, this.emulation.time.nowMs + this.plan.patienceMs);
  }

  #watch(exchangeId: string, untilMs: number): void {
    this.emulation.time.schedule(POLL_MS, () => {
      const answer = this.emulation.answer(exchangeId);
      if (answer.state === AnswerState.Waiting && this.emulation.time.nowMs < untilMs) {
        this.#watch(exchangeId, untilMs);
      } else {
        this.#settle(answer);
      }
    });
  }

  #settle(answer: CallerAnswer): void {
    if (answer.idempotencyKey !== undefined) {
      this.#key = answer.idempotencyKey;
      this.#next();
      return;
    }
    const isSettled =
      answer.state === AnswerState.Ended ||
      (answer.problem?.outcome === Outcome.RefusedNotRun && this.#key !== undefined);
    if (isSettled || this.#sendCount >= this.plan.maxSends) {
      this.#final = answer;
      return;
    }
    this.emulation.time.schedule(RESEND_DELAY_MS, () => this.#next());
  }
}
