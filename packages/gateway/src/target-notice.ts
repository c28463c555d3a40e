/** @module What a target says of itself in the heads of its answers. */

/** Notices of one answer, and the fields that could not be decoded. */
export interface TargetNotice {
  /** Requests that the target takes in each second from all gateways together. */
  readonly maxRequestsPerSecond?: number;
  /** Whether the target leaves, so that it wants no further request. */
  readonly isLeaving: boolean;
  /** Time for which it wants no request from this gateway; only when it turned one away. */
  readonly pauseMs?: number;
  /** Names of fields whose values are ignored. */
  readonly invalidFields: readonly string[];
}

/** Notice of an answer without any such field. */
export const NO_NOTICE: TargetNotice = { isLeaving: false, invalidFields: [] };
