/** @module Results of calls to targets, and what follows from them. */

/** How a call ended, as far as it says something about its target. */
export enum TargetResultKind {
  /** The answer began, or arrived if it is no stream. */
  Answered = 'answered',
  /** No connection, no complete answer, or an answer that reports a failure. */
  Failed = 'failed',
  /** The target was full. */
  Full = 'full',
}

/** Result of one call. */
export type TargetResult =
  | {
      readonly kind: TargetResultKind.Answered;
      /** From the start of the call to the first event, or to the complete answer. */
      readonly latencyMs: number;
    }
  | { readonly kind: TargetResultKind.Failed | TargetResultKind.Full };

/** What the results of a target say about it. */
export interface TargetCondition {
  /** Part of the usual load that it carries: over 0, up to 1. */
  readonly weight: number;
  /** Whether it rejected a request for being full a moment ago. */
  readonly isFull: boolean;
}
