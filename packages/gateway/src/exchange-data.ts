/** @module Requests of callers and answers of targets, as data apart from their encoding. */

/** One header field that is passed on as it came. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A caller's request whose body was read whole. */
export interface CallerRequest {
  /** Drawn by the caller, anew for each attempt. */
  readonly attemptId: string;
  /** Host name without port. */
  readonly host: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly credential?: string;
  /** How long the caller will wait. */
  readonly remainingMs?: number;
  /** Id of the last event that the caller has, when it resumes a stream. */
  readonly resumeAfter?: string;
  /** Tokens to read for the request; 0 when not told. */
  readonly promptTokens: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** A request to a target. */
export interface TargetCall {
  readonly address: string;
  readonly instanceId: string;
  readonly method: string;
  readonly path: string;
  readonly remainingMs: number;
  readonly organisation?: string;
  /** 0 is the most urgent, 9 the least. */
  readonly priority?: number;
  readonly resumeAfter?: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** Load that a target tells with its answers. */
export interface TargetLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly slots: number;
}

/** Status line and header fields of a target's answer. */
export interface TargetHead {
  readonly status: number;
  /** Echo of the caller's attempt identifier; tells a stale answer. */
  readonly attemptId?: string;
  /** Whether the target proved that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the answer carries the target's signature. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  readonly load?: TargetLoad;
  /** Instance at fault, when another than the one that answers. */
  readonly faultyInstanceId?: string;
  /** Fields to pass on to the caller. */
  readonly headers: readonly HeaderField[];
}

/** How far a call had come when it failed. */
export enum CallStage {
  /** No byte of the request left this process. */
  NotSent = 'not-sent',
  /** The target may have run the request. */
  Sent = 'sent',
}
