#!/usr/bin/env node
/** @module Prints the measured slopes, their fit and the values expected in two years. */
import { fitLine } from '../capacity/linear-fit.js';
import measureSlopes from '../capacity/measureSlopes.js';

/**
 * Sizes expected in two years, by the name of the slope and in its size unit; those of processor
 * times are per second.
 */
const EXPECTED_SIZES: Readonly<Record<string, number>> = {
  'entry: control sent on idle links': 640,
  'entry: control sent for requests': 4.3,
  'sidecar: control sent on idle links': 118,
  'driver: control sent for a change of map, 32 ranks': 60,
  'configuration value by organisations': 43_000,
  'configuration value by targets': 2_000,
  'organisations in memory': 43_000,
  'targets in memory': 2_000,
  'entry: links in memory': 640,
  'entry: streams in memory, 100 chunks each': 173,
  'sidecar: links in memory': 118,
  'sidecar: keys in memory': 65_536,
  'entry: decisions for requests': 4.3,
  'entry: decisions for chunks': 2_162,
  'sidecar: decisions for chunks': 400,
  'codec: one chunk written and read': 2_162,
  'decisions for heartbeats': 130,
};

const formatPercent = (ratio: number): string => `${(100 * ratio).toFixed(1)} %`;

/**
 * Value of the fitted line at a size. For processor times, the intercept is left out: it is the
 * set-up cost of the measurement, which does not recur each second.
 */
const expectedValue = (slope: number, intercept: number, size: number, valueUnit: string): number =>
  (valueUnit === 'ms' ? 0 : intercept) + slope * size;

measureSlopes().forEach(({ name, sizeUnit, valueUnit, points }) => {
  const { slope, intercept, relativeResidual } = fitLine(points);
  const expected = EXPECTED_SIZES[name] ?? 0;
  const measured = points.map(({ size, value }) => `${size}: ${value.toFixed(1)}`).join(', ');
  process.stdout.write(
    `${name}\n` +
      `  measured (${sizeUnit}: ${valueUnit})  ${measured}\n` +
      `  slope ${slope.toPrecision(4)} ${valueUnit} per ${sizeUnit}, at zero ` +
      `${intercept.toFixed(1)}, residual ${formatPercent(relativeResidual)}\n` +
      `  at ${expected} ${sizeUnit}: ${expectedValue(slope, intercept, expected, valueUnit).toFixed(1)} ${valueUnit}\n`,
  );
});
