/** @module State of one keyed exchange: a mint, a call, or the voiding of a call's key. */
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
  /** For the sidecar to void the key or to tell what became of it. */
  AwaitingVoid = 'awaiting-void',
}

/** Follows one keyed exchange. */
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
    /** Absent while a key is being minted. */
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

  /** Attempt whose messages count; older ones do not. */
  get runId(): string {
    return this.#runId;
  }

  /** Link of that attempt. */
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

  /** What to tell the caller once its key is void, or when no key was minted. */
  get refusal(): Problem | undefined {
    return this.#refusal;
  }

  /** Moves the exchange on. */
  setPhase(phase: KeyedPhase): void {
    this.currentPhase = phase;
  }

  /** Begins an attempt. */
  startAttempt(runId: string): void {
    this.#runId = runId;
    this.#credit = CreditMeter.create();
  }

  /** Puts the attempt on a link. */
  setLink(linkId: string): void {
    this.#linkId = linkId;
  }

  /** Takes the attempt off its link; returns the link that was used. */
  clearLink(): string | undefined {
    const linkId = this.#linkId;
    this.#linkId = undefined;
    return linkId;
  }

  /** Notes that a target was asked for a key. */
  recordAskedTarget(targetId: string): void {
    this.#askedTargets = [...this.#askedTargets, targetId];
  }

  /** Allows every target to be asked for a key again. */
  clearAskedTargets(): void {
    this.#askedTargets = [];
  }

  /** Notes what to tell the caller if nothing better comes. */
  setRefusal(problem: Problem): void {
    this.#refusal = problem;
  }

  /** Notes that the answer to the caller has begun. */
  markHeadSent(): void {
    this.#isHeadSent = true;
  }

  /** Notes a delivered chunk. */
  countDelivered(): void {
    this.#deliveredCount += 1;
  }

  /** Counts flushed chunks; returns the credit to grant now, or 0. */
  addFlushed(chunkCount: number): number {
    return this.#credit.addFlushed(chunkCount);
  }
}
