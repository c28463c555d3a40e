/** @module Measures the heap and processor time that an action uses. */
import type { Point } from './linear-fit.js';

/** A quantity measured at several sizes. */
export interface Slope {
  readonly name: string;
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly Point[];
}

/** A quantity, and how to measure it. */
export interface SlopePlan extends Omit<Slope, 'points'> {
  /** At least four sizes, in ascending order. */
  readonly sizes: readonly number[];
  /** Measures the value at a size, in `valueUnit`. */
  readonly read: (size: number) => number;
}

const BYTES_PER_KB = 1_000;

const MICROS_PER_MS = 1_000;

/** Runs of a processor time measurement, of which the fastest is used. */
const CPU_RUNS = 3;

/**
 * Measures a quantity at each size, after a discarded warm-up run at the first size.
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
 * Heap that the result of an action keeps in use, in KB of 1,000 bytes; needs `--expose-gc`.
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
 * Processor time of the action that `prepare` returns, in ms, without the preparation itself.
 *
 * @example
 * cpuMsOf(() => () => encodeAll());
 */
export const cpuMsOf = (prepare: () => () => void): number =>
  Math.min(...Array.from({ length: CPU_RUNS }, () => cpuMsOnce(prepare)));
