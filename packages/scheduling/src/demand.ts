/** @module Requests that compete for targets, as decisions see them. */

/** Size of a request, in tokens; a plain call has none. */
export interface RequestSize {
  /** Tokens of the prompt, which a target reads before the first event. */
  readonly promptTokens: number;
  /** Expected tokens of the answer. */
  readonly answerTokens: number;
}

/** Whether a request is the return of one that was refused. */
export enum ReturnKind {
  New = 'new',
  /** Came back at the time that it was told, or later. */
  AsTold = 'as-told',
  /** Came back before the time that it was told. */
  Early = 'early',
}

/** A request that asks for a place at a target. */
export interface Demand {
  /** Identifies the request within this process. */
  readonly id: number;
  /** Empty for a request without an organisation. */
  readonly organisation: string;
  /** Of the organisation, else of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly returnKind: ReturnKind;
  readonly receivedAtMs: number;
  /** Start after which the request misses its latency objective, by the usual time to an answer. */
  readonly latestStartMs: number;
  readonly deadlineAtMs: number;
  readonly size: RequestSize;
}
