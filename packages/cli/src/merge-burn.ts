/** @module Merges the burn reports of several processes and computes burn rates for an objective. */
import type { Reason } from '@ebonysill/core';
import type { BurnWindow, ReasonCount, ServiceBurn } from '@ebonysill/transport';

/** Error-budget burn of one service in one window. */
export interface BurnLine {
  readonly service: string;
  readonly windowMinutes: number;
  readonly totalCount: number;
  readonly badCount: number;
  /** Rate at which the error budget is spent; 1 spends exactly the budget of the objective's period. */
  readonly burnRate: number;
  /** Share of the window's error budget that is left; negative when overspent. */
  readonly budgetLeft: number;
  /** Counts by reason, most frequent first. */
  readonly reasons: readonly ReasonCount[];
}

const addReasons = (windows: readonly BurnWindow[]): readonly ReasonCount[] => {
  const counts = new Map<Reason, number>();
  windows
    .flatMap(({ badByReason }) => badByReason)
    .forEach(({ reason, count }) => counts.set(reason, (counts.get(reason) ?? 0) + count));
  return [...counts]
    .map(([reason, count]) => ({ reason, count }))
    .sort((left, right) => right.count - left.count);
};

const lineOf = (
  service: string,
  windows: readonly BurnWindow[],
  windowMinutes: number,
  objective: number,
): BurnLine => {
  const windowsOfLength = windows.filter((window) => window.windowMinutes === windowMinutes);
  const totalCount = windowsOfLength.reduce((sum, window) => sum + window.totalCount, 0);
  const badCount = windowsOfLength.reduce((sum, window) => sum + window.badCount, 0);
  const badShare = totalCount === 0 ? 0 : badCount / totalCount;
  const burnRate = badShare / (1 - objective);
  return {
    service,
    windowMinutes,
    totalCount,
    badCount,
    burnRate,
    budgetLeft: 1 - burnRate,
    reasons: addReasons(windowsOfLength),
  };
};

/**
 * Merges the reports by service and window. The objective is the share of requests to be served, above 0
 * and below 1.
 *
 * @example
 * mergeBurn(reports, 0.999).map(({ burnRate }) => burnRate);
 */
export const mergeBurn = (
  reports: readonly (readonly ServiceBurn[])[],
  objective: number,
): readonly BurnLine[] => {
  const allReports = reports.flat();
  const services = [...new Set(allReports.map(({ service }) => service))].sort();
  return services.flatMap((service) => {
    const windows = allReports
      .filter((report) => report.service === service)
      .flatMap((report) => report.windows);
    const windowLengths = [...new Set(windows.map(({ windowMinutes }) => windowMinutes))];
    return windowLengths.map((windowMinutes) => lineOf(service, windows, windowMinutes, objective));
  });
};
