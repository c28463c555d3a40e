/** @module Adds up what several processes counted, and sets it against an objective. */
import type { Reason } from '@ebonysill/core';
import type { BurnWindow, ReasonCount, ServiceBurn } from '@ebonysill/transport';

/** Burn of one service in one window. */
export interface BurnLine {
  readonly service: string;
  readonly windowMinutes: number;
  readonly totalCount: number;
  readonly badCount: number;
  /** Speed at which the error budget is spent; 1 spends it exactly over the objective's period. */
  readonly burnRate: number;
  /** Share of the window's error budget that is left; negative when overspent. */
  readonly budgetLeft: number;
  /** Reasons, the most frequent first. */
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
 * Adds up the burn of all processes by service and window.
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
