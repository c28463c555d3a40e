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
 * decideByNotices({ isLeaving: false, limitMs: 400 }).waitMs; // 400
 */
export const decideByNotices: DecideCall = ({ isLeaving, limitMs }) => {
  if (isLeaving) {
    return { permission: CallPermission.Never, waitMs: 0 };
  }
  const permission = limitMs > 0 ? CallPermission.Later : CallPermission.Allowed;
  return { permission, waitMs: limitMs };
};
