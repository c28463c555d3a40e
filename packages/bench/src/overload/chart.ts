/** @module Draws the shares over time of all patterns and policies as an SVG picture. */
import { scaleLinear } from 'd3-scale';
import { line } from 'd3-shape';
import type { SeriesPoint } from './summary.js';
import { TRAFFIC_FROM_MS, TRAFFIC_UNTIL_MS } from './traffic.js';

/** Shares over time of one pattern under one policy. */
export interface ChartSeries {
  readonly pattern: string;
  readonly policy: string;
  readonly points: readonly SeriesPoint[];
}

const COLOURS: readonly string[] = ['#1b7837', '#2166ac', '#b2182b'];

const MEASURES: readonly (readonly [string, (point: SeriesPoint) => number])[] = [
  ['served', ({ served }) => served],
  ['late', ({ late }) => late],
  ['refused once', ({ refusedOnce }) => refusedOnce],
  ['refused twice', ({ refusedTwice }) => refusedTwice],
];

const WIDTH = 300;

const HEIGHT = 110;

const LEFT = 120;

const TOP = 40;

const GAP = 30;

const atMsScale = scaleLinear([TRAFFIC_FROM_MS, TRAFFIC_UNTIL_MS], [0, WIDTH]);

const shareScale = scaleLinear([0, 1], [HEIGHT, 0]);

const panelOf = (series: readonly ChartSeries[], measure: (typeof MEASURES)[number]): string => {
  const path = line<SeriesPoint>(
    ({ atMs }) => atMsScale(atMs),
    (point) => shareScale(measure[1](point)),
  );
  const grid = shareScale.ticks(2).map((share) => {
    const y = shareScale(share);
    return `<path d="M0,${y}H${WIDTH}" stroke="#ddd"/><text x="-4" y="${y + 3}" text-anchor="end">${share}</text>`;
  });
  const times = atMsScale
    .ticks(4)
    .map((ms) => `<text x="${atMsScale(ms)}" y="${HEIGHT + 12}">${ms / 1_000} s</text>`);
  const lines = series.map(
    ({ points }, index) =>
      `<path d="${path(points) ?? ''}" fill="none" stroke="${COLOURS[index % COLOURS.length] ?? ''}"/>`,
  );
  return [...grid, ...times, ...lines].join('');
};

/**
 * Returns the text of the picture: a row for each pattern, a column for each measure.
 *
 * @example
 * writeFileSync('overload.svg', drawChart(series));
 */
export const drawChart = (series: readonly ChartSeries[]): string => {
  const patterns = [...new Set(series.map(({ pattern }) => pattern))];
  const policies = [...new Set(series.map(({ policy }) => policy))];
  const move = (column: number, row: number, content: string): string => {
    const position = `${LEFT + column * (WIDTH + GAP)},${TOP + row * (HEIGHT + GAP)}`;
    return `<g transform="translate(${position})">${content}</g>`;
  };
  const panels = patterns.flatMap((pattern, row) => [
    `<text x="4" y="${TOP + row * (HEIGHT + GAP) + 12}">${pattern}</text>`,
    ...MEASURES.map((measure, column) =>
      move(
        column,
        row,
        panelOf(
          series.filter((one) => one.pattern === pattern),
          measure,
        ),
      ),
    ),
  ]);
  const titles = MEASURES.map(([name], column) => move(column, 0, `<text y="-8">${name}</text>`));
  const legend = policies.map(
    (policy, index) =>
      `<text x="${LEFT + index * 100}" y="14" fill="${COLOURS[index % COLOURS.length] ?? ''}">${policy}</text>`,
  );
  const width = LEFT + MEASURES.length * (WIDTH + GAP);
  const height = TOP + patterns.length * (HEIGHT + GAP);
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" ` +
    `font-size="10"><rect width="100%" height="100%" fill="#fff"/>${[...legend, ...titles, ...panels].join('')}</svg>\n`
  );
};
