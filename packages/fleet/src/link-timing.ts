/**
 * @module Timing of links. A busy link that falls silent is found within one check (a heartbeat is
 * sent), the silence limit, and one more check.
 */

/** Time between checks of a link with work in progress or something unanswered. */
export const BUSY_CHECK_INTERVAL_MS = 500;

/** Shortest time between checks of an idle link. */
export const MIN_IDLE_CHECK_INTERVAL_MS = 5_000;

/** Bytes that the check of one idle link costs this process, with headers. */
const IDLE_CHECK_BYTES = 160;

/** Bytes per second that a process spends on checks of idle links. */
const IDLE_CHECK_BUDGET_BYTES_PER_SECOND = 500;

/** Time between checks of a link that the other end opened; that end does the asking. */
export const INBOUND_CHECK_INTERVAL_MS = 60_000;

/** A link that the other end opened is closed when nothing was heard for this long. */
export const INBOUND_SILENCE_LIMIT_MS = 900_000;

const MS_PER_SECOND = 1_000;

/**
 * Time between checks of an idle link; grows with the number of links, so that the bytes spent on
 * all of them stay within the budget.
 *
 * @example
 * idleCheckMs(12); // 5000
 */
export const idleCheckIntervalMs = (linkCount: number): number =>
  Math.max(
    MIN_IDLE_CHECK_INTERVAL_MS,
    (linkCount * IDLE_CHECK_BYTES * MS_PER_SECOND) / IDLE_CHECK_BUDGET_BYTES_PER_SECOND,
  );

/** A link on which a message was unanswered for this long takes no new work. */
export const SUSPECT_AFTER_MS = 200;

/** A link on which a message was unanswered for this long is closed and replaced. */
export const SILENCE_LIMIT_MS = 1_500;

/** First delay before a lost link is opened again. */
export const REOPEN_BASE_DELAY_MS = 100;

/** Longest delay before a lost link is opened again. */
export const REOPEN_MAX_DELAY_MS = 2_000;

/** Peers that are told of a new configuration revision in one round. */
export const ANNOUNCEMENT_PEERS_PER_ROUND = 16;

/** Rounds in which peers are told of a new revision; later ones learn of it from heartbeats. */
export const ANNOUNCEMENT_ROUNDS = 4;

/** Time between rounds. */
export const ANNOUNCEMENT_INTERVAL_MS = 1_000;
