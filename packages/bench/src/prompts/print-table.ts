/** @module Prints the figures of policies by the length of prompts. */
import { firstEventMsAt, inTimeShare, servedShare, type Objectives } from './summary.js';
import type ReplayOutcome from './ReplayOutcome.js';

/** Outcomes of a policy. */
export interface PolicyOutcomes {
  readonly name: string;
  readonly outcomes: readonly ReplayOutcome[];
}

/** Upper ends of the bands of prompt lengths, in tokens. */
const BAND_ENDS: readonly number[] = [250, 500, 1_000, 1_700, 3_000];

const NAME_WIDTH = 20;

const COLUMN_WIDTH = 18;

const bandOf = (outcomes: readonly ReplayOutcome[], index: number): readonly ReplayOutcome[] =>
  outcomes.filter(({ request: { size } }) => {
    const startsAt = BAND_ENDS[index - 1] ?? 0;
    return size.promptTokens > startsAt && size.promptTokens <= (BAND_ENDS[index] ?? Infinity);
  });

const percent = (share: number): string => (100 * share).toFixed(1);

const lineOf = (name: string, cells: readonly string[]): string =>
  `  ${name.padEnd(NAME_WIDTH)}${cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('')}\n`;

/**
 * Table with a row for each policy: the share served, the share in time, rejections, and the median
 * and the 99th percentile of the time to the first event for each band of prompt lengths.
 *
 * @example
 * process.stdout.write(formatTable([{ name: 'by work', outcomes }], CAPTIONS));
 */
export const formatTable = (
  policies: readonly PolicyOutcomes[],
  objectives: Objectives,
): string => {
  const bandNames = BAND_ENDS.map((end) => `up to ${end} tokens`);
  const rows = policies.map(({ name, outcomes }) =>
    lineOf(name, [
      percent(servedShare(outcomes)),
      percent(inTimeShare(outcomes, objectives)),
      String(outcomes.reduce((sum, { rejectionCount }) => sum + rejectionCount, 0)),
      ...BAND_ENDS.map((_end, index) => {
        const band = bandOf(outcomes, index);
        return `${firstEventMsAt(band, 0.5).toFixed(0)} / ${firstEventMsAt(band, 0.99).toFixed(0)}`;
      }),
    ]),
  );
  return [lineOf('', ['served %', 'in time %', 'rejections', ...bandNames]), ...rows].join('');
};
