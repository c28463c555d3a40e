/** @module Metrics of a process in the Prometheus text format. */
import type { ProcessStatus } from './admin-router.js';
import type { ServiceBurn } from './burn-meter.js';
import type { DropCount } from './DropCounters.js';

const MS_PER_SECOND = 1_000;

const gauge = (name: string, help: string, value: number): string =>
  `# HELP ${name} ${help}\n# TYPE ${name} gauge\n${name} ${value}\n`;

const DURATION_METRIC = 'ebonysill_request_duration_seconds';

const REQUESTS_METRIC = 'ebonysill_requests_last_six_hours';

const NOT_SERVED_METRIC = 'ebonysill_requests_not_served_last_six_hours';

const DROPPED_METRIC = 'ebonysill_dropped_total';

const dropLine = ({ listener, cause, count }: DropCount): string =>
  `${DROPPED_METRIC}{listener="${listener}",cause="${cause}"} ${count}\n`;

const serviceLines = ({ service, windows, p50Ms, p99Ms }: ServiceBurn): string => {
  const longest = windows.at(-1);
  return [
    `${DURATION_METRIC}{service="${service}",quantile="0.5"} ${p50Ms / MS_PER_SECOND}`,
    `${DURATION_METRIC}{service="${service}",quantile="0.99"} ${p99Ms / MS_PER_SECOND}`,
    `${REQUESTS_METRIC}{service="${service}"} ${longest?.totalCount ?? 0}`,
    ...(longest?.badByReason ?? []).map(
      ({ reason, count }) =>
        `${NOT_SERVED_METRIC}{service="${service}",reason="${reason}"} ${count}`,
    ),
  ].join('\n');
};

/** Formats the metrics page of a process. */
export type FormatMetrics = (
  status: ProcessStatus,
  burn: readonly ServiceBurn[],
  drops: readonly DropCount[],
) => string;

/**
 * Formats the metrics page; its size is bounded by the number of services and reasons.
 *
 * @example
 * formatMetrics(status, burnMeter.report(), drops.report());
 */
export const formatMetrics: FormatMetrics = (status, burn, drops) =>
  [
    gauge('ebonysill_configuration_revision', 'Accepted revision.', status.revision),
    gauge('ebonysill_links', 'Links that are up.', status.peers.length),
    gauge('ebonysill_resident_bytes', 'Resident memory.', status.residentBytes),
    gauge('ebonysill_uptime_seconds', 'Time since the start.', status.uptimeMs / MS_PER_SECOND),
    gauge('ebonysill_running', 'Requests on the target.', status.load?.runningCount ?? 0),
    gauge('ebonysill_waiting', 'Requests that wait.', status.load?.waitingCount ?? 0),
    ...burn.map((serviceBurn) => `${serviceLines(serviceBurn)}\n`),
    ...drops.map(dropLine),
  ].join('');
