/**
 * @module Decides whether a group of targets takes one more stream.
 *
 * Load pattern: more streams than the group can serve without long pauses, because of a burst or
 * because its experts are unevenly loaded. The more streams run, the longer each pass takes for all
 * of them, so further streams are refused before the pauses exceed the objective. With a slow or
 * cold rank, passes stay long however few streams run: then a late answer is better than none.
 */
import { LONG_PASS_SHARE } from '@ebonysill/scheduling';
import { AdmissionVerdict } from './directory.js';

/** State of a group of targets that is asked to take one more stream. */
export interface AdmissionQuestion {
  /** Longest pause between events that the route allows; 0 without an objective. */
  readonly maxPauseMs: number;
  /** Share of that pause from which passes are long for this stream. */
  readonly longPassShare: number;
  /** Estimated duration of a pass; 0 when no gateway knows it. */
  readonly passMs: number;
  /** Time for which passes have been long. */
  readonly longForMs: number;
  /** Streams of this gateway that started, or had an event, within the last second. */
  readonly ownCount: number;
  /** Requests of all gateways at the targets of the group. */
  readonly runningCount: number;
  /** Requests that the targets of the group run at once. */
  readonly placeCount: number;
}

/** Duration of the passes of a group, and what a stream allows. */
export type PassQuestion = Pick<AdmissionQuestion, 'maxPauseMs' | 'longPassShare' | 'passMs'>;

/** Decides whether a stream may start. */
export type DecideAdmission = (question: AdmissionQuestion) => AdmissionVerdict;

/** Streams that a gateway may always run, however long passes take, so that it can measure them. */
const MIN_STREAMS = 1;

/** Streams that a gateway runs while no gateway knows the duration of a pass. */
const MAX_STREAMS_WITHOUT_ESTIMATE = 4;

/** Passes that stay long for this time are not shortened by refusals or by changes of map. */
const PERSISTENT_MS = 6_000;

/** Share of a group's places that is used while passes are persistently long. */
const PERSISTENT_PLACE_SHARE = 0.3;

/**
 * Duration from which passes are long for the most urgent streams; 0 without an objective.
 *
 * @example
 * longPassMsOf(120); // 84
 */
export const longPassMsOf = (maxPauseMs: number): number => maxPauseMs * LONG_PASS_SHARE;

/**
 * Whether passes are so long that more streams would wait too long for their events.
 *
 * @example
 * arePassesLong({ passMs: 90, maxPauseMs: 120, longPassShare: 0.7 }); // true
 */
export const arePassesLong = ({ passMs, maxPauseMs, longPassShare }: PassQuestion): boolean =>
  maxPauseMs > 0 && passMs >= maxPauseMs * longPassShare;

/**
 * Admits a stream while passes are short, and to part of the places while they stay long anyway.
 *
 * @example
 * const load = { longForMs: 400, ownCount: 3, runningCount: 30, placeCount: 96 };
 * admitByPass({ maxPauseMs: 120, longPassShare: 0.7, passMs: 90, ...load }); // AdmissionVerdict.Refused
 */
export const admitByPass: DecideAdmission = (question) => {
  const { maxPauseMs, passMs, longForMs, ownCount, runningCount, placeCount } = question;
  const isKnown = passMs > 0;
  const isAdmitted =
    maxPauseMs === 0 ||
    ownCount < (isKnown ? MIN_STREAMS : MAX_STREAMS_WITHOUT_ESTIMATE) ||
    (isKnown && !arePassesLong(question)) ||
    (isKnown && longForMs >= PERSISTENT_MS && runningCount < placeCount * PERSISTENT_PLACE_SHARE);
  return isAdmitted ? AdmissionVerdict.Admitted : AdmissionVerdict.Refused;
};
