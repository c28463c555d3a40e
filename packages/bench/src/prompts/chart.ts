/** @module Draws the time to the first event by prompt length as an SVG picture. */
import { drawLinePanels, type LinePanel, type LinePoint } from '../charts/line-panels.js';
import type { PolicyOutcomes } from './print-table.js';
import type ReplayOutcome from './ReplayOutcome.js';
import { firstEventMsAt, splitIntoTenths } from './summary.js';

/** Outcomes of the policies in one case. */
export interface ChartCase {
  readonly pool: string;
  readonly conditions: string;
  readonly policies: readonly PolicyOutcomes[];
}

const QUANTILES: Readonly<Record<string, number>> = { median: 0.5, p99: 0.99 };

const pointsOf = (outcomes: readonly ReplayOutcome[], quantile: number): readonly LinePoint[] =>
  splitIntoTenths(outcomes).map((tenth, index) => [index + 1, firstEventMsAt(tenth, quantile)]);

const panelOf = ({ policies }: ChartCase, quantile: number): LinePanel => {
  const lines = policies.map(({ outcomes }) => pointsOf(outcomes, quantile));
  const longestMs = Math.max(1, ...lines.flat().map(([, firstEventMs]) => firstEventMs));
  return {
    x: { domain: [1, 10], tickCount: 10, format: String },
    y: { domain: [0, longestMs], tickCount: 4, format: String },
    lines,
  };
};

/**
 * Returns the text of the picture: a column for each of the conditions, a row for each pool and
 * quantile. Times are in milliseconds, by tenth of the prompt length, the shortest prompts first.
 *
 * @example
 * writeFileSync('prompts.svg', drawChart(cases));
 */
export const drawChart = (cases: readonly ChartCase[]): string =>
  drawLinePanels({
    lineNames: cases[0]?.policies.map(({ name }) => name) ?? [],
    columnNames: [...new Set(cases.map(({ conditions }) => conditions))],
    rows: [...new Set(cases.map(({ pool }) => pool))].flatMap((pool) =>
      Object.entries(QUANTILES).map(([name, quantile]) => ({
        name: `${pool}, ${name}`,
        panels: cases.filter((one) => one.pool === pool).map((one) => panelOf(one, quantile)),
      })),
    ),
  });
