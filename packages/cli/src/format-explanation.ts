/** @module Formats the decisions that processes logged about one request. */
import type { LoggedDecision } from '@ebonysill/transport';

/** Decisions that one process logged about a request. */
export interface ProcessExplanation {
  readonly processId: string;
  readonly lines: readonly LoggedDecision[];
}

const describeFields = ({ fields }: LoggedDecision): string =>
  Object.entries(fields)
    .filter(([name]) => name !== 'requestId')
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');

const describeLine = (line: LoggedDecision, firstMs: number): string =>
  `  +${(line.atMs - firstMs).toFixed(1)} ms  ${line.topic}  ${describeFields(line)}`;

/**
 * Formats the decisions of each process; times count from each process's first decision, because clocks
 * of different hosts are not comparable.
 *
 * @example
 * process.stdout.write(formatExplanation('x1y2', explanations));
 */
export const formatExplanation = (
  requestId: string,
  explanations: readonly ProcessExplanation[],
): string => {
  const nonEmpty = explanations.filter(({ lines }) => lines.length > 0);
  if (nonEmpty.length === 0) {
    return `no process that was asked remembers request "${requestId}"\n`;
  }
  const blocks = nonEmpty.map(({ processId, lines }) => {
    const firstMs = lines[0]?.atMs ?? 0;
    return [processId, ...lines.map((line) => describeLine(line, firstMs))].join('\n');
  });
  return `request ${requestId}\n${blocks.join('\n')}\n`;
};
