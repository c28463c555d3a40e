/** @module Linear least-squares fit of measured values. */

/** The value measured at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line through measured points. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest residual as a fraction of the largest absolute value. */
  readonly relativeResidual: number;
}

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/**
 * Fits a line by least squares; the points must have at least two different sizes.
 *
 * @example
 * fitLine([{ size: 1, value: 2 }, { size: 2, value: 4 }]).slope; // 2
 */
export const fitLine = (points: readonly Point[]): LinearFit => {
  const meanSize = sum(points.map(({ size }) => size)) / points.length;
  const meanValue = sum(points.map(({ value }) => value)) / points.length;
  const covariance = sum(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)));
  const variance = sum(points.map(({ size }) => (size - meanSize) ** 2));
  const slope = covariance / variance;
  const intercept = meanValue - slope * meanSize;
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)));
  const distances = points.map(({ size, value }) => Math.abs(value - intercept - slope * size));
  return { slope, intercept, relativeResidual: Math.max(...distances) / largest };
};
