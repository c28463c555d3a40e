/** @module Draws panels with lines as an SVG picture. */
import { scaleLinear } from 'd3-scale';
import { line } from 'd3-shape';

/** Horizontal and vertical value of a point. */
export type LinePoint = readonly [number, number];

/** Range of values, and the labels along it. */
export interface Axis {
  readonly domain: readonly [number, number];
  /** About as many labels are drawn. */
  readonly tickCount: number;
  readonly format: (value: number) => string;
}

/** Lines over the same axes, in the order of their names in the legend. */
export interface LinePanel {
  readonly x: Axis;
  readonly y: Axis;
  readonly lines: readonly (readonly LinePoint[])[];
}

/** Panels side by side, one below each column name. */
export interface PanelRow {
  readonly name: string;
  readonly panels: readonly LinePanel[];
}

/** All panels of a picture. */
export interface LinePanels {
  readonly lineNames: readonly string[];
  readonly columnNames: readonly string[];
  readonly rows: readonly PanelRow[];
}

const COLOURS: readonly string[] = ['#1b7837', '#2166ac', '#b2182b', '#e08214'];

const WIDTH = 300;

const HEIGHT = 110;

const LEFT = 120;

const TOP = 40;

const GAP = 30;

const colourOf = (index: number): string => COLOURS[index % COLOURS.length] ?? '';

const drawPanel = ({ x, y, lines }: LinePanel): string => {
  const xScale = scaleLinear(x.domain, [0, WIDTH]);
  const yScale = scaleLinear(y.domain, [HEIGHT, 0]);
  const path = line<LinePoint>(
    ([value]) => xScale(value),
    ([, value]) => yScale(value),
  );
  const grid = yScale.ticks(y.tickCount).map((value) => {
    const height = yScale(value);
    return `<path d="M0,${height}H${WIDTH}" stroke="#ddd"/><text x="-4" y="${height + 3}" text-anchor="end">${y.format(value)}</text>`;
  });
  const labels = xScale
    .ticks(x.tickCount)
    .map((value) => `<text x="${xScale(value)}" y="${HEIGHT + 12}">${x.format(value)}</text>`);
  const paths = lines.map(
    (points, index) => `<path d="${path(points) ?? ''}" fill="none" stroke="${colourOf(index)}"/>`,
  );
  return [...grid, ...labels, ...paths].join('');
};

const move = (column: number, row: number, content: string): string => {
  const position = `${LEFT + column * (WIDTH + GAP)},${TOP + row * (HEIGHT + GAP)}`;
  return `<g transform="translate(${position})">${content}</g>`;
};

/**
 * Returns the text of a picture with a legend of the lines and a title for each row and column.
 *
 * @example
 * writeFileSync('picture.svg', drawLinePanels({ lineNames, columnNames, rows }));
 */
export const drawLinePanels = ({ lineNames, columnNames, rows }: LinePanels): string => {
  const legend = lineNames.map(
    (name, index) =>
      `<text x="${LEFT + index * 100}" y="14" fill="${colourOf(index)}">${name}</text>`,
  );
  const titles = columnNames.map((name, column) => move(column, 0, `<text y="-8">${name}</text>`));
  const panels = rows.flatMap(({ name, panels: inRow }, row) => [
    `<text x="4" y="${TOP + row * (HEIGHT + GAP) + 12}">${name}</text>`,
    ...inRow.map((panel, column) => move(column, row, drawPanel(panel))),
  ]);
  const width = LEFT + columnNames.length * (WIDTH + GAP);
  const height = TOP + rows.length * (HEIGHT + GAP);
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" ` +
    `font-size="10"><rect width="100%" height="100%" fill="#fff"/>${[...legend, ...titles, ...panels].join('')}</svg>\n`
  );
};
