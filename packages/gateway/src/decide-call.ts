/** @module Decides from what a target said whether it may be called. */

/** Whether a target may be called. */
export enum CallPermission {
  Allowed = 'allowed',
  /** Not before a time has passed. */
  Later = 'later',
  /** The target leaves. */
  Never = 'never',
}

/** What a target said that is still in force. */
export interface NoticesInForce {
  readonly isLeaving: boolean;
  /** Time for which the target wants no request from this gateway. */
  readonly pauseMs: number;
  /** Time until the target's limit allows the next request. */
  readonly limitMs: number;
}

/** Whether a target may be called, and otherwise when. */
export interface CallDecision {
  readonly permission: CallPermission;
  /** Time until the target may be called; 0 when it may be called now, or never. */
  readonly waitMs: number;
}

/** Decides whether a target may be called. */
export type DecideCall = (notices: NoticesInForce) => CallDecision;

/**
 * Does what the target asks for.
 *
 * @example
 * decideByNotices({ isLeaving: false, pauseMs: 400, limitMs: 0 }).waitMs; // 400
 */
export const decideByNotices: DecideCall = ({ isLeaving, pauseMs, limitMs }) => {
  if (isLeaving) {
    return { permission: CallPermission.Never, waitMs: 0 };
  }
  const waitMs = Math.max(0, pauseMs, limitMs);
  return { permission: waitMs > 0 ? CallPermission.Later : CallPermission.Allowed, waitMs };
};
