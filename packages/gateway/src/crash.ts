/** @module Crashes of targets, as gateways observe them and report them to each other. */

/** A target crashed while it ran a request. */
export interface Crash {
  readonly instanceId: string;
  readonly atMs: number;
  /** Identifies the request, which its caller may repeat. */
  readonly fingerprint: string;
  /** Segments of the prompt that other requests may share, each with the name of the service. */
  readonly segments: readonly string[];
}

/**
 * Key by which gateways tell each other that a request, or one with a segment, was answered to its end. It
 * differs from that of a segment of which an answer has begun.
 *
 * @example
 * completionKeyOf('assistant/5c1e07a2'); // 'whole/assistant/5c1e07a2'
 */
export const completionKeyOf = (fingerprintOrSegment: string): string =>
  `whole/${fingerprintOrSegment}`;

/** Reports about one instance within this time are about the same crash. */
const SAME_CRASH_MS = 3_000;

/** The oldest ones are dropped; when many targets crash at once, each had requests waiting. */
const MAX_CRASHES = 256;

/** Crashes older than this are ignored, so that no request is refused permanently. */
const CRASH_EXPIRY_MS = 1_200_000;

/**
 * Whether two reports are about one crash; several requests may have been in progress.
 *
 * @example
 * isSameCrash({ instanceId, atMs: 100 }, { instanceId, atMs: 2_000 }); // true
 */
export const isSameCrash = (
  left: Pick<Crash, 'instanceId' | 'atMs'>,
  right: Pick<Crash, 'instanceId' | 'atMs'>,
): boolean =>
  left.instanceId === right.instanceId && Math.abs(left.atMs - right.atMs) < SAME_CRASH_MS;

const addCrash = (known: readonly Crash[], added: Crash): readonly Crash[] =>
  known.some((crash) => isSameCrash(crash, added) && crash.fingerprint === added.fingerprint)
    ? known
    : [...known, added];

/**
 * Adds crashes that are not known yet; the result is in order of time and bounded.
 *
 * @example
 * mergeCrashes(known, received, nowMs()).length;
 */
export const mergeCrashes = (
  known: readonly Crash[],
  added: readonly Crash[],
  nowMs: number,
): readonly Crash[] =>
  added
    .reduce(addCrash, known)
    .filter(({ atMs }) => atMs > nowMs - CRASH_EXPIRY_MS)
    .sort((earlier, later) => earlier.atMs - later.atMs)
    .slice(-MAX_CRASHES);
