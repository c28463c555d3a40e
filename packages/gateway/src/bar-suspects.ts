/**
 * @module Decides how long a request is refused after crashes of targets.
 *
 * Load pattern: requests that crash each target that begins to answer them, either repeats of one
 * request or different ones with a prompt segment in common. Each crash interrupts all streams of a
 * group, so few of them are allowed; but a target may also crash for other reasons, and then the
 * requests that it was about to answer are sound.
 *
 * A request that was answered to its end since a crash did not cause it, nor did its segments; a target may
 * crash after it has begun to answer. A segment that no target began to answer is a likelier cause. Requests are refused that have all segments in
 * common that remain as the cause of some crash.
 */
import { isSameCrash, type Crash } from './crash.js';

/** State when a request is about to be sent to a target. */
export interface SuspicionQuestion {
  readonly fingerprint: string;
  readonly segments: readonly string[];
  /** In order of time. */
  readonly crashes: readonly Crash[];
  /** When a target last began to answer a request with a segment; undefined if none is known. */
  readonly answeredAtMs: (segment: string) => number | undefined;
  /** When a target last answered a request, or one with a segment, to its end. */
  readonly completedAtMs: (fingerprintOrSegment: string) => number | undefined;
  /** In [0, 1); differs between gateways, so that they do not all try a suspect again at once. */
  readonly jitter: number;
}

/** Time until which the request is refused, also when it has passed; undefined for no suspect. */
export type BarUntilMs = (question: SuspicionQuestion) => number | undefined;

/** How strongly a crash points to the segments that remain as its cause. */
enum Evidence {
  /** Answers have begun for all segments, but none with these was complete since the crash. */
  Doubtful = 'doubtful',
  /** No segment of the request was ever answered. */
  Weak = 'weak',
  /** Other segments of the request have been answered, but these never. */
  Strong = 'strong',
}

/** Crashes after which a request is refused, and for how long. */
interface BarPolicy {
  readonly minCrashes: number;
  readonly firstBarMs: number;
  /** Factor by which each further crash prolongs the next refusal. */
  readonly factor: number;
}

const REQUEST_POLICY: BarPolicy = { minCrashes: 3, firstBarMs: 120_000, factor: 1 };

const SEGMENT_POLICIES: Readonly<Record<Evidence, BarPolicy>> = {
  [Evidence.Strong]: { minCrashes: 1, firstBarMs: 30_000, factor: 16 },
  // Long enough for a group to restart and to answer requests with a part of the segments.
  [Evidence.Weak]: { minCrashes: 1, firstBarMs: 5_000, factor: 2 },
  [Evidence.Doubtful]: { minCrashes: 4, firstBarMs: 30_000, factor: 16 },
};

const MAX_BAR_MS = 600_000;

/** Crashes of a request that was repeated longer ago are ignored. */
const REQUEST_CRASH_EXPIRY_MS = 120_000;

/** Segments that may have caused a crash, and the evidence against them. */
interface Cause {
  readonly segments: readonly string[];
  readonly evidence: Evidence;
}

const causeOf = (
  { segments, atMs }: Crash,
  { answeredAtMs, completedAtMs }: Pick<SuspicionQuestion, 'answeredAtMs' | 'completedAtMs'>,
): Cause => {
  const unanswered = segments.filter((segment) => answeredAtMs(segment) === undefined);
  if (unanswered.length > 0) {
    const evidence = unanswered.length < segments.length ? Evidence.Strong : Evidence.Weak;
    return { segments: unanswered, evidence };
  }
  return {
    segments: segments.filter((segment) => (completedAtMs(segment) ?? 0) <= atMs),
    evidence: Evidence.Doubtful,
  };
};

const barOf = (
  crashes: readonly Crash[],
  { minCrashes, firstBarMs, factor }: BarPolicy,
  jitter: number,
): number | undefined => {
  const distinct = crashes.filter(
    (crash, index) => !crashes.slice(0, index).some((other) => isSameCrash(other, crash)),
  );
  const last = distinct.at(-1);
  if (last === undefined || distinct.length < minCrashes) {
    return undefined;
  }
  const barMs = Math.min(MAX_BAR_MS, firstBarMs * factor ** (distinct.length - minCrashes));
  return last.atMs + barMs * (1 + jitter);
};

const barOfRequest = ({
  fingerprint,
  crashes,
  completedAtMs,
}: SuspicionQuestion): number | undefined => {
  const own = crashes.filter(
    (crash) => crash.fingerprint === fingerprint && crash.atMs >= (completedAtMs(fingerprint) ?? 0),
  );
  const sinceMs = (own.at(-1)?.atMs ?? 0) - REQUEST_CRASH_EXPIRY_MS;
  return barOf(
    own.filter(({ atMs }) => atMs > sinceMs),
    REQUEST_POLICY,
    0,
  );
};

const barOfSegments = (
  { segments, crashes, jitter, ...answers }: SuspicionQuestion,
  evidence: Evidence,
): number | undefined => {
  const matching = crashes.filter((crash) => {
    if (!crash.segments.some((segment) => segments.includes(segment))) {
      return false;
    }
    const cause = causeOf(crash, answers);
    return (
      cause.evidence === evidence &&
      cause.segments.length > 0 &&
      cause.segments.every((segment) => segments.includes(segment))
    );
  });
  return barOf(matching, SEGMENT_POLICIES[evidence], jitter);
};

/**
 * Refuses a repeated request after its third crash, and requests with the segments that remain as
 * the cause of crashes: after the first crash if no target ever answered these, else after the
 * fourth.
 *
 * @example
 * barByEvidence({ fingerprint, segments: ['assistant/5c1e07a2'], crashes, answeredAtMs, completedAtMs, jitter: 0 });
 * // 31_000
 */
export const barByEvidence: BarUntilMs = (question) => {
  const bars = [
    barOfRequest(question),
    ...Object.values(Evidence).map((evidence) => barOfSegments(question, evidence)),
  ].filter((untilMs) => untilMs !== undefined);
  return bars.length === 0 ? undefined : Math.max(...bars);
};
