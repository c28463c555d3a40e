/** @module HTTP status of each reason. */
import { Outcome, Reason, type Problem } from '@ebonysill/core';

const BAD_GATEWAY = 502;

const STATUS_BY_REASON: Readonly<Record<Reason, number>> = {
  [Reason.MalformedRequest]: 400,
  [Reason.TooLarge]: 413,
  [Reason.UnknownOrganisation]: 401,
  [Reason.UnknownService]: 404,
  [Reason.NotReady]: 503,
  [Reason.KeyMissing]: 428,
  [Reason.KeyMalformed]: 400,
  [Reason.KeyForged]: 403,
  [Reason.KeySpent]: 409,
  [Reason.KeyFromLostProcess]: BAD_GATEWAY,
  [Reason.RecordDropped]: BAD_GATEWAY,
  [Reason.RecordsFull]: 503,
  [Reason.OrganisationLimit]: 429,
  [Reason.QueueTimeout]: 503,
  [Reason.Overloaded]: 503,
  [Reason.NoTarget]: 503,
  [Reason.TargetBusy]: 503,
  [Reason.TargetLost]: BAD_GATEWAY,
  [Reason.TargetFailed]: BAD_GATEWAY,
  [Reason.LinkLost]: BAD_GATEWAY,
  [Reason.DeadlinePassed]: 504,
  [Reason.RetryBudgetSpent]: 503,
  [Reason.Draining]: 503,
  [Reason.CrashSuspect]: 422,
  [Reason.CallerCancelled]: 499,
  [Reason.StreamCut]: BAD_GATEWAY,
};

/** Maps a problem to an HTTP status. */
export type StatusOf = (problem: Problem) => number;

/**
 * Returns the HTTP status of a problem. With an unknown outcome, 502 replaces 503, because a 503
 * invites the caller to retry.
 *
 * @example
 * statusOf(notRun(Reason.OrganisationLimit, 'too many')); // 429
 */
export const statusOf: StatusOf = ({ outcome, reason }) => {
  const status = STATUS_BY_REASON[reason];
  return outcome === Outcome.Unknown && status === 503 ? BAD_GATEWAY : status;
};
