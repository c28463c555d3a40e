/** @module Formats the status of processes as a table. */
import type { ProcessStatus } from '@ebonysill/transport';

const MB = 1e6;

const SECOND_MS = 1_000;

const COLUMN_GAP = '  ';

const HEADER: readonly string[] = [
  'PROCESS',
  'ROLE',
  'ZONE',
  'REVISION',
  'STATE',
  'RUNNING',
  'WAITING',
  'LIMIT',
  'LINKS',
  'MEMORY',
  'UP',
];

const rowOf = ({ load, peers, ...status }: ProcessStatus): readonly string[] => [
  status.processId,
  status.role,
  status.availabilityZone,
  String(status.revision),
  load?.state ?? '-',
  String(load?.runningCount ?? '-'),
  String(load?.waitingCount ?? '-'),
  String(load?.limit ?? '-'),
  String(peers.length),
  `${(status.residentBytes / MB).toFixed(0)} MB`,
  `${(status.uptimeMs / SECOND_MS).toFixed(0)} s`,
];

/**
 * Formats a table with one row per process.
 *
 * @example
 * process.stdout.write(formatStatus(statuses));
 */
const formatStatus = (statuses: readonly ProcessStatus[]): string => {
  const rows = [HEADER, ...statuses.map(rowOf)];
  const widths = HEADER.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const lines = rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
};

export default formatStatus;
