/**
 * @module Decides whether a stream has stalled.
 *
 * Load pattern: connections that go silent while the group goes on, which only the missing events
 * show. A pause of the whole group stalls nothing: every stream of it waits, and none would be
 * faster elsewhere.
 */

/** Progress of a stream and of its group. */
export interface StreamProgress {
  /** Time since the last event of the stream. */
  readonly silentMs: number;
  /** Events of other streams of the same group in that time. */
  readonly groupEventCount: number;
  /** Estimated duration of a pass; 0 when unknown. */
  readonly passMs: number;
}

/** Decides whether to resume a stream at another target. */
export type IsStalled = (progress: StreamProgress) => boolean;

/** Shorter pauses are common while a group changes its map or reads long prompts. */
const MIN_SILENT_MS = 1_000;

/** Passes in which a running stream shows an event, even when it is put back in between. */
const MIN_SILENT_PASSES = 8;

/** Fewer events may come from one burst that was held up. */
const MIN_GROUP_EVENTS = 8;

/**
 * Takes a stream for stalled when it is silent for long while its group makes passes.
 *
 * @example
 * isStalledBehindGroup({ silentMs: 1_200, groupEventCount: 20, passMs: 50 }); // true
 */
export const isStalledBehindGroup: IsStalled = ({ silentMs, groupEventCount, passMs }) =>
  silentMs >= Math.max(MIN_SILENT_MS, MIN_SILENT_PASSES * passMs) &&
  groupEventCount >= MIN_GROUP_EVENTS;
