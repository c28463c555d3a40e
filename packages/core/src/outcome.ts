/** @module Outcomes of a request, as reported to the caller. */

/** How a request ended, as far as the caller may rely on it. */
export enum Outcome {
  /** It ran, and the complete answer was delivered. */
  Done = 'done',
  /** It did not run and, for a keyed call, never will under this key. */
  RefusedNotRun = 'refused-not-run',
  /** It may or may not have run. */
  Unknown = 'unknown',
  /** An idempotent request ended early because its caller cancelled it. */
  Cancelled = 'cancelled',
}

/** Reason for an outcome other than done. */
export enum Reason {
  MalformedRequest = 'malformed-request',
  TooLarge = 'too-large',
  UnknownOrganisation = 'unknown-organisation',
  UnknownService = 'unknown-service',
  NotReady = 'not-ready',
  KeyMissing = 'key-missing',
  KeyMalformed = 'key-malformed',
  KeyForged = 'key-forged',
  KeySpent = 'key-spent',
  KeyFromLostProcess = 'key-from-lost-process',
  RecordDropped = 'record-dropped',
  RecordsFull = 'records-full',
  OrganisationLimit = 'organisation-limit',
  QueueTimeout = 'queue-timeout',
  Overloaded = 'overloaded',
  NoTarget = 'no-target',
  TargetBusy = 'target-busy',
  TargetLost = 'target-lost',
  TargetFailed = 'target-failed',
  LinkLost = 'link-lost',
  DeadlinePassed = 'deadline-passed',
  RetryBudgetSpent = 'retry-budget-spent',
  Draining = 'draining',
  CrashSuspect = 'crash-suspect',
  CallerCancelled = 'caller-cancelled',
  StreamCut = 'stream-cut',
}

/** An outcome with its reason: the content of an error answer, apart from its encoding. */
export interface Problem {
  readonly outcome: Outcome;
  readonly reason: Reason;
  /** One sentence for people; programs use `outcome` and `reason`. */
  readonly detail: string;
}

/**
 * Builds the problem of a request that did not run.
 *
 * @example
 * notRun(Reason.NoTarget, 'no live target serves "assistant"');
 */
export const notRun = (reason: Reason, detail: string): Problem => ({
  outcome: Outcome.RefusedNotRun,
  reason,
  detail,
});

/**
 * Builds the problem of a request that may have run.
 *
 * @example
 * unknown(Reason.LinkLost, 'the connection to the sidecar was lost');
 */
export const unknown = (reason: Reason, detail: string): Problem => ({
  outcome: Outcome.Unknown,
  reason,
  detail,
});
