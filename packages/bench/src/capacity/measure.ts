/** @module Reads heap and processor time around an action. */
import type { Point } from './linear-fit.js';

/** A quantity that grows with a size. */
export interface Slope {
  readonly name: string;
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly Point[];
}

/** What a slope is measured with. */
export interface SlopePlan extends Omit<Slope, 'points'> {
  /** At least four. */
  readonly sizes: readonly number[];
  readonly read: (size: number) => number;
}

const BYTES_PER_KB = 1_000;

const MICROS_PER_MS = 1_000;

/** Runs of a processor time measurement; the fastest counts. */
const CPU_RUNS = 3;

/**
 * Measures a quantity at each size, after one run that is not counted.
 *
 * @example
 * measureSlope({ name: 'value', sizeUnit: 'targets', valueUnit: 'bytes', sizes, read });
 */
export const measureSlope = ({ sizes, read, ...slope }: SlopePlan): Slope => {
  sizes.slice(0, 1).forEach(read);
  return { ...slope, points: sizes.map((size) => ({ size, value: read(size) })) };
};

const heapBytes = (): number => {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

/**
 * Heap that an action leaves in use, in KB; what it returns is kept until then.
 *
 * @example
 * heapKbOf(() => new Map());
 */
export const heapKbOf = (action: () => unknown): number => {
  const before = heapBytes();
  const kept = [action()];
  const after = heapBytes();
  kept.pop();
  return (after - before) / BYTES_PER_KB;
};

const cpuMsOnce = (prepare: () => () => void): number => {
  const action = prepare();
  const before = process.cpuUsage();
  action();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROS_PER_MS;
};

/**
 * Processor time of an action in milliseconds, without its preparation; the fastest of three runs.
 *
 * @example
 * cpuMsOf(() => () => encodeAll());
 */
export const cpuMsOf = (prepare: () => () => void): number =>
  Math.min(...Array.from({ length: CPU_RUNS }, () => cpuMsOnce(prepare)));
