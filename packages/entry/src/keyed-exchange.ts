/** @module State of one keyed exchange: a mint, a call, or the voiding of a call's key. */
import type { Call, IdempotencyKeyParts, Problem } from '@ebonysill/core';

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

/** One keyed exchange. */
export interface KeyedExchange {
  readonly call: Call;
  /** Absent while a key is being minted. */
  readonly key: IdempotencyKeyParts | undefined;
  phase: KeyedPhase;
  runId: string;
  linkId: string | undefined;
  isHeadSent: boolean;
  deliveredCount: number;
  flushedCount: number;
  /** Targets that refused to mint a key. */
  refusedTargets: readonly string[];
  /** What to tell the caller once its key is void. */
  refusal: Problem | undefined;
}

/**
 * Creates an exchange in its first phase.
 *
 * @example
 * createKeyedExchange(call, undefined, KeyedPhase.AwaitingKey);
 */
export const createKeyedExchange = (
  call: Call,
  key: IdempotencyKeyParts | undefined,
  phase: KeyedPhase,
): KeyedExchange => ({
  call,
  key,
  phase,
  runId: '',
  linkId: undefined,
  isHeadSent: false,
  deliveredCount: 0,
  flushedCount: 0,
  refusedTargets: [],
  refusal: undefined,
});
