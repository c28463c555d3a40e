/**
 * @module Timing of links. Silence on a busy link is detected within two check intervals and the
 * silence limit: the first check sends a heartbeat, and the first check after the limit closes the
 * link.
 */

/** Time between checks of a link with work in progress or an unanswered message. */
export const BUSY_CHECK_INTERVAL_MS = 500;

/** Minimum time between checks of an idle link. */
export const MIN_IDLE_CHECK_INTERVAL_MS = 5_000;

/** Traffic of this process for one check of an idle link, in bytes including headers. */
const IDLE_CHECK_BYTES = 160;

/** Bytes per second that a process may spend on checks of idle links. */
const IDLE_CHECK_BUDGET_BYTES_PER_SECOND = 500;

/** Time between checks of an idle inbound link; heartbeats come from the end that dialled it. */
export const INBOUND_CHECK_INTERVAL_MS = 60_000;

/**
 * An inbound link is closed if nothing was received for this long. The limit is high because a
 * peer with many links checks idle ones rarely.
 */
export const INBOUND_SILENCE_LIMIT_MS = 900_000;

const MS_PER_SECOND = 1_000;

/**
 * Time between checks of an idle link. Grows with the number of links, so that the checks of all
 * links together stay within the byte budget.
 *
 * @example
 * idleCheckIntervalMs(12); // 5000
 */
export const idleCheckIntervalMs = (linkCount: number): number =>
  Math.max(
    MIN_IDLE_CHECK_INTERVAL_MS,
    (linkCount * IDLE_CHECK_BYTES * MS_PER_SECOND) / IDLE_CHECK_BUDGET_BYTES_PER_SECOND,
  );

/** A link on which a message has been unanswered for this long is given no new work. */
export const SUSPECT_MS = 200;

/** A link on which a message has been unanswered for this long is closed and replaced. */
export const SILENCE_LIMIT_MS = 1_500;

/** Upper bound of the first delay before a lost link is reopened; doubles at each attempt. */
export const REOPEN_BASE_DELAY_MS = 100;

/** Maximum delay before a lost link is reopened. */
export const REOPEN_MAX_DELAY_MS = 2_000;

/** Number of peers to which a new configuration revision is announced in one round. */
export const ANNOUNCEMENT_PEERS_PER_ROUND = 16;

/** Rounds in which a new revision is announced; other peers learn of it from heartbeats. */
export const ANNOUNCEMENT_ROUNDS = 4;

/** Time between two rounds of announcing a revision. */
export const ANNOUNCEMENT_INTERVAL_MS = 1_000;
