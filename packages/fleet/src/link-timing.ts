/**
 * @module Timing of links. A busy link that falls silent is found within one check (a heartbeat is
 * sent), the silence limit, and one more check.
 */

/** Time between checks of a link with work in progress or something unanswered. */
export const BUSY_CHECK_MS = 500;

/** Time between checks of an idle link. */
export const IDLE_CHECK_MS = 5_000;

/** A link on which a message was unanswered for this long takes no new work. */
export const SUSPECT_MS = 200;

/** A link on which a message was unanswered for this long is closed and replaced. */
export const SILENCE_LIMIT_MS = 1_500;

/** First delay before a lost link is opened again. */
export const REOPEN_BASE_MS = 100;

/** Longest delay before a lost link is opened again. */
export const REOPEN_MAX_MS = 2_000;

/** Peers that are told of a new configuration revision at once. */
export const SPREAD_COUNT = 16;
