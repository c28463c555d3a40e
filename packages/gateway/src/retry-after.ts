/** @module When a refused caller is asked to come back. */

/** Retry delay as a fraction of the caller's remaining time; callers wait at most a third of it. */
const RETRY_AFTER_SHARE = 0.25;

/** Maximum retry delay; most outages of a group end within it. */
export const MAX_RETRY_AFTER_MS = 2_000;

/** Remaining time assumed for a caller that sent none. */
export const DEFAULT_REMAINING_MS = 1_000;

/**
 * Retry delay of a caller for whose request there is no target now.
 *
 * @example
 * retryAfterMsOf(1_200); // 300
 */
export const retryAfterMsOf = (remainingMs: number = DEFAULT_REMAINING_MS): number =>
  Math.min(MAX_RETRY_AFTER_MS, Math.round(remainingMs * RETRY_AFTER_SHARE));

/**
 * Retry delay when targets take requests again after `delayMs`: between once and twice as long, so
 * that refused callers do not return at the same time. `random` is uniform in [0, 1).
 *
 * @example
 * spreadRetryAfterMs(200, 0.5); // 300
 */
export const spreadRetryAfterMs = (delayMs: number, random: number): number =>
  Math.min(MAX_RETRY_AFTER_MS, Math.round(delayMs * (1 + random)));
