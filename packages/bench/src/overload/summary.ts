/** @module Figures of a run. */
import { Ending, type RequestRecord } from './Callers.js';
import { MAX_PAUSE_MS } from './deployment.js';
import { TRAFFIC_FROM_MS, TRAFFIC_UNTIL_MS } from './traffic.js';

const WORST_WINDOW_MS = 2_000;

const SERIES_MS = 500;

/** Shares of a set of requests. */
export interface Shares {
  readonly count: number;
  readonly served: number;
  readonly inTime: number;
  /** Worth earned over the worth of all answers in time. */
  readonly worth: number;
  readonly late: number;
  /** Refused at least once. */
  readonly refusedOnce: number;
  /** Refused at least twice. */
  readonly refusedTwice: number;
}

const isLate = ({ planned, firstEventAtMs = 0, longestPauseMs }: RequestRecord): boolean =>
  firstEventAtMs - planned.arrivesAtMs > planned.kind.objectiveMs || longestPauseMs > MAX_PAUSE_MS;

const worthOf = (record: RequestRecord): number => {
  const { worth, lateShare } = record.planned.kind;
  return record.ending === Ending.Served ? worth * (isLate(record) ? lateShare : 1) : 0;
};

/**
 * Shares of these requests.
 *
 * @example
 * sharesOf(result.records).served; // 0.98
 */
export const sharesOf = (records: readonly RequestRecord[]): Shares => {
  const count = records.length;
  const shareOf = (isCounted: (record: RequestRecord) => boolean): number =>
    records.filter(isCounted).length / Math.max(1, count);
  const isServed = ({ ending }: RequestRecord): boolean => ending === Ending.Served;
  const allWorth = records.reduce((total, { planned }) => total + planned.kind.worth, 0);
  return {
    count,
    served: shareOf(isServed),
    inTime: shareOf((record) => isServed(record) && !isLate(record)),
    worth: records.reduce((total, record) => total + worthOf(record), 0) / Math.max(1, allWorth),
    late: shareOf((record) => isServed(record) && isLate(record)),
    refusedOnce: shareOf(({ refusalCount }) => refusalCount >= 1),
    refusedTwice: shareOf(({ refusalCount }) => refusalCount >= 2),
  };
};

/**
 * Shares of the requests with each key.
 *
 * @example
 * groupBy(records, ({ planned }) => planned.kind.name).get('urgent');
 */
export const groupBy = (
  records: readonly RequestRecord[],
  keyOf: (record: RequestRecord) => string,
): ReadonlyMap<string, Shares> => {
  const keys = [...new Set(records.map(keyOf))];
  return new Map(
    keys.map((key) => [key, sharesOf(records.filter((record) => keyOf(record) === key))]),
  );
};

/** Shares of the requests that arrived in one part of the run. */
export interface SeriesPoint extends Shares {
  readonly atMs: number;
}

/**
 * Shares of the requests that arrive in a span, from each half second on.
 *
 * @example
 * seriesOf(records).map(({ atMs, served }) => [atMs, served]);
 */
export const seriesOf = (
  records: readonly RequestRecord[],
  spanMs = SERIES_MS,
): readonly SeriesPoint[] =>
  Array.from(
    { length: Math.floor((TRAFFIC_UNTIL_MS - TRAFFIC_FROM_MS) / SERIES_MS) },
    (_, index) => {
      const atMs = TRAFFIC_FROM_MS + index * SERIES_MS;
      const inWindow = records.filter(
        ({ planned }) => planned.arrivesAtMs >= atMs && planned.arrivesAtMs < atMs + spanMs,
      );
      return { atMs, ...sharesOf(inWindow) };
    },
  );

/**
 * Smallest share of the worth that the requests of any two seconds earned.
 *
 * @example
 * worstWindow(records); // 0.41
 */
export const worstWindow = (records: readonly RequestRecord[]): number =>
  Math.min(
    ...seriesOf(records, WORST_WINDOW_MS)
      .filter(({ atMs }) => atMs + WORST_WINDOW_MS <= TRAFFIC_UNTIL_MS)
      .map(({ worth }) => worth),
  );
