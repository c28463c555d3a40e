/** @module Timing of links. Detection of a silent busy link takes at most the silence limit plus one check. */

/** Time between checks of a link with work in progress. */
export const BUSY_CHECK_MS = 500;

/** Time between checks of a link without work. */
export const IDLE_CHECK_MS = 5_000;

/** A busy link that delivered nothing for this long is closed and replaced. */
export const SILENCE_LIMIT_MS = 2_000;

/** An idle link that delivered nothing for this long is closed. */
export const IDLE_SILENCE_LIMIT_MS = 12_000;

/** First delay before a lost link is opened again. */
export const REOPEN_BASE_MS = 100;

/** Longest delay before a lost link is opened again. */
export const REOPEN_MAX_MS = 2_000;

/** Peers that are told of a new configuration revision at once. */
export const SPREAD_COUNT = 16;
