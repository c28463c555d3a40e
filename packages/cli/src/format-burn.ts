/** @module Formats the report on error-budget burn as a table or as one HTML page. */
import type { BurnLine } from './merge-burn.js';

const percent = (share: number): string => `${(100 * share).toFixed(2)} %`;

const describeReasons = ({ reasons }: BurnLine): string =>
  reasons.length === 0 ? '-' : reasons.map(({ reason, count }) => `${reason} ${count}`).join(', ');

const cellsOf = (line: BurnLine): readonly string[] => [
  line.service,
  `${line.windowMinutes} min`,
  String(line.totalCount),
  String(line.badCount),
  line.burnRate.toFixed(2),
  percent(line.budgetLeft),
  describeReasons(line),
];

const HEADER: readonly string[] = [
  'SERVICE',
  'WINDOW',
  'REQUESTS',
  'NOT SERVED',
  'BURN RATE',
  'BUDGET LEFT',
  'WHAT ATE IT',
];

/**
 * Formats the report as a table.
 *
 * @example
 * formatBurnTable(mergeBurn(reports, 0.999));
 */
export const formatBurnTable = (lines: readonly BurnLine[]): string => {
  const rows = [HEADER, ...lines.map(cellsOf)];
  const widths = HEADER.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const text = rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${text.join('\n')}\n`;
};

const escapeHtml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const PLOT_WIDTH = 600;

const BAR_HEIGHT = 22;

const LABEL_WIDTH = 220;

/** Burn rate of a bar of full width; higher rates are drawn with the same width. */
const FULL_BAR_BURN_RATE = 10;

const barOf = (line: BurnLine, index: number): string => {
  const width =
    (Math.min(line.burnRate, FULL_BAR_BURN_RATE) / FULL_BAR_BURN_RATE) * (PLOT_WIDTH - LABEL_WIDTH);
  const y = index * BAR_HEIGHT;
  const colour = line.burnRate > 1 ? '#c0392b' : '#2e86c1';
  const label = escapeHtml(`${line.service}, ${line.windowMinutes} min`);
  return (
    `<text x="0" y="${y + 15}">${label}</text>` +
    `<rect x="${LABEL_WIDTH}" y="${y + 3}" width="${Math.max(width, 1).toFixed(1)}" ` +
    `height="${BAR_HEIGHT - 6}" fill="${colour}"/>` +
    `<text x="${LABEL_WIDTH + width + 6}" y="${y + 15}">${line.burnRate.toFixed(2)}</text>`
  );
};

const rowOf = (tag: string, cells: readonly string[]): string =>
  `<tr>${cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`;

/**
 * Formats the report as a self-contained HTML page with a plot, without scripts.
 *
 * @example
 * formatBurnPage(mergeBurn(reports, 0.999), 0.999);
 */
export const formatBurnPage = (lines: readonly BurnLine[], objective: number): string => {
  const height = Math.max(lines.length, 1) * BAR_HEIGHT;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:4px 10px;text-align:left;border-bottom:1px solid #ccc}svg text{font:12px sans-serif}</style>
</head><body><h1>Service-level burn</h1>
<p>Objective ${percent(objective)}. A burn rate of 1 spends the error budget exactly; bars are full at ${FULL_BAR_BURN_RATE}.</p>
<svg width="${PLOT_WIDTH + 60}" height="${height}" role="img" aria-label="Burn rate by service and window">${lines.map(barOf).join('')}</svg>
<table>${rowOf('th', HEADER)}${lines.map((line) => rowOf('td', cellsOf(line))).join('')}</table>
</body></html>
`;
};
