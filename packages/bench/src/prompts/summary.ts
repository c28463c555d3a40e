/** @module Figures of a replay. */
import type ReplayOutcome from './ReplayOutcome.js';

/** Objectives by which an answer is in time. */
export interface Objectives {
  readonly objectiveMs: number;
  readonly maxGapMs: number;
}

/** Outcomes of requests with prompts in a range of lengths. */
export interface LengthBand {
  readonly name: string;
  readonly outcomes: readonly ReplayOutcome[];
}

const ratio = (part: number, whole: number): number => (whole === 0 ? 1 : part / whole);

/**
 * Share of requests that were answered at all.
 *
 * @example
 * servedShare(outcomes); // 0.98
 */
export const servedShare = (outcomes: readonly ReplayOutcome[]): number =>
  ratio(outcomes.filter(({ firstEventMs }) => firstEventMs !== undefined).length, outcomes.length);

/**
 * Share of requests whose first event and pauses met the objectives.
 *
 * @example
 * inTimeShare(outcomes, { objectiveMs: 403, maxGapMs: 120 }); // 0.95
 */
export const inTimeShare = (
  outcomes: readonly ReplayOutcome[],
  { objectiveMs, maxGapMs }: Objectives,
): number =>
  ratio(
    outcomes.filter(
      ({ firstEventMs = Infinity, longestGapMs }) =>
        firstEventMs <= objectiveMs && longestGapMs <= maxGapMs,
    ).length,
    outcomes.length,
  );

/**
 * Time to the first event that a share of the answered requests does not exceed; 0 for none.
 *
 * @example
 * firstEventMsAt(outcomes, 0.99); // 180
 */
export const firstEventMsAt = (outcomes: readonly ReplayOutcome[], share: number): number => {
  const sorted = outcomes
    .flatMap(({ firstEventMs }) => (firstEventMs === undefined ? [] : [firstEventMs]))
    .sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
};

const byLength = (outcomes: readonly ReplayOutcome[]): readonly ReplayOutcome[] =>
  [...outcomes].sort(
    (left, right) => left.request.size.promptTokens - right.request.size.promptTokens,
  );

/**
 * Splits outcomes into tenths by the length of their prompts, the shortest first.
 *
 * @example
 * splitIntoTenths(outcomes).length; // 10
 */
export const splitIntoTenths = (
  outcomes: readonly ReplayOutcome[],
): readonly (readonly ReplayOutcome[])[] => {
  const sorted = byLength(outcomes);
  const startOf = (index: number): number => Math.floor((sorted.length * index) / 10);
  return Array.from({ length: 10 }, (_, index) => sorted.slice(startOf(index), startOf(index + 1)));
};

/**
 * Splits outcomes by the length of their prompts: the seven shortest tenths, the fifth above them,
 * and the longest tenth.
 *
 * @example
 * splitByLength(outcomes).at(-1)?.name; // 'longest tenth'
 */
export const splitByLength = (outcomes: readonly ReplayOutcome[]): readonly LengthBand[] => {
  const sorted = byLength(outcomes);
  const fifthAt = Math.floor(sorted.length * 0.7);
  const tenthAt = Math.floor(sorted.length * 0.9);
  return [
    { name: 'shorter', outcomes: sorted.slice(0, fifthAt) },
    { name: 'fifth below', outcomes: sorted.slice(fifthAt, tenthAt) },
    { name: 'longest tenth', outcomes: sorted.slice(tenthAt) },
  ];
};
