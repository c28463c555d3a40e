/** @module Draws the shares over time of all patterns and policies as an SVG picture. */
import { drawLinePanels, type LinePanel } from '../charts/line-panels.js';
import type { SeriesPoint } from './summary.js';
import { TRAFFIC_FROM_MS, TRAFFIC_UNTIL_MS } from './traffic.js';

/** Shares over time of one pattern under one policy. */
export interface ChartSeries {
  readonly pattern: string;
  readonly policy: string;
  readonly points: readonly SeriesPoint[];
}

type Measure = (point: SeriesPoint) => number;

const MEASURES: Readonly<Record<string, Measure>> = {
  served: ({ served }) => served,
  late: ({ late }) => late,
  'refused once': ({ refusedOnce }) => refusedOnce,
  'refused twice': ({ refusedTwice }) => refusedTwice,
};

const panelOf = (series: readonly ChartSeries[], measure: Measure): LinePanel => ({
  x: {
    domain: [TRAFFIC_FROM_MS, TRAFFIC_UNTIL_MS],
    tickCount: 4,
    format: (ms) => `${ms / 1_000} s`,
  },
  y: { domain: [0, 1], tickCount: 2, format: String },
  lines: series.map(({ points }) => points.map((point) => [point.atMs, measure(point)])),
});

/**
 * Returns the text of the picture: a row for each pattern, a column for each measure.
 *
 * @example
 * writeFileSync('overload.svg', drawChart(series));
 */
export const drawChart = (series: readonly ChartSeries[]): string =>
  drawLinePanels({
    lineNames: [...new Set(series.map(({ policy }) => policy))],
    columnNames: Object.keys(MEASURES),
    rows: [...new Set(series.map(({ pattern }) => pattern))].map((name) => ({
      name,
      panels: Object.values(MEASURES).map((measure) =>
        panelOf(
          series.filter(({ pattern }) => pattern === name),
          measure,
        ),
      ),
    })),
  });
