/** @module State of one keyed exchange: minting a key, a keyed call, or voiding its key. */
import type { Call, IdempotencyKeyParts, Problem } from '@ebonysill/core';
import CreditMeter from './CreditMeter.js';

/** What a keyed exchange waits for. */
export enum KeyedPhase {
  /** For a sidecar to mint a key. */
  AwaitingKey = 'awaiting-key',
  /** For a link to the key's sidecar. */
  AwaitingLink = 'awaiting-link',
  /** For the answer of the run. */
  AwaitingAnswer = 'awaiting-answer',
  /** For the sidecar to void the key or to report its outcome. */
  AwaitingVoid = 'awaiting-void',
}

/** Tracks the phase, the current attempt and the delivered chunks of one keyed exchange. */
export class KeyedExchange {
  #runId = '';

  #linkId: string | undefined;

  #isHeadSent = false;

  #deliveredCount = 0;

  #credit = CreditMeter.create();

  #askedTargets: readonly string[] = [];

  #refusal: Problem | undefined;

  private constructor(
    readonly call: Call,
    /** Absent in an exchange that mints a key. */
    readonly key: IdempotencyKeyParts | undefined,
    private currentPhase: KeyedPhase,
  ) {}

  /**
   * Creates an exchange in its first phase.
   *
   * @example
   * KeyedExchange.create(call, undefined, KeyedPhase.AwaitingKey);
   */
  static create(
    call: Call,
    key: IdempotencyKeyParts | undefined,
    phase: KeyedPhase,
  ): KeyedExchange {
    return new KeyedExchange(call, key, phase);
  }

  /** What the exchange waits for. */
  get phase(): KeyedPhase {
    return this.currentPhase;
  }

  /** Run id of the current attempt; messages of earlier attempts are ignored. */
  get runId(): string {
    return this.#runId;
  }

  /** Link on which the current attempt was sent, while it is in use. */
  get linkId(): string | undefined {
    return this.#linkId;
  }

  /** Whether the answer to the caller has begun. */
  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  /** Chunks delivered to the caller. */
  get deliveredCount(): number {
    return this.#deliveredCount;
  }

  /** Targets that were asked for a key. */
  get askedTargets(): readonly string[] {
    return this.#askedTargets;
  }

  /** Problem to answer with once the key is void, or when no key was minted. */
  get refusal(): Problem | undefined {
    return this.#refusal;
  }

  setPhase(phase: KeyedPhase): void {
    this.currentPhase = phase;
  }

  /** Starts an attempt; chunks flushed during earlier attempts grant it no credit. */
  startAttempt(runId: string): void {
    this.#runId = runId;
    this.#credit = CreditMeter.create();
  }

  setLink(linkId: string): void {
    this.#linkId = linkId;
  }

  /** Detaches the attempt from its link; returns the link that was used. */
  clearLink(): string | undefined {
    const linkId = this.#linkId;
    this.#linkId = undefined;
    return linkId;
  }

  recordAskedTarget(targetId: string): void {
    this.#askedTargets = [...this.#askedTargets, targetId];
  }

  /** Allows every target to be asked for a key again. */
  clearAskedTargets(): void {
    this.#askedTargets = [];
  }

  /** Sets the problem to answer with unless the sidecar reports another outcome. */
  setRefusal(problem: Problem): void {
    this.#refusal = problem;
  }

  /** Records that the answer to the caller has begun. */
  markHeadSent(): void {
    this.#isHeadSent = true;
  }

  countDelivered(): void {
    this.#deliveredCount += 1;
  }

  /** Counts flushed chunks; returns the credit to grant now, or 0. */
  addFlushed(chunkCount: number): number {
    return this.#credit.addFlushed(chunkCount);
  }
}
