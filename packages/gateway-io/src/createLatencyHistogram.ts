/**
 * @module Histograms of latencies, in a module of their own: processes that record no latencies do
 * not load the library.
 */
import { build } from 'hdr-histogram-js';
import type { CreateHistogram } from './MetricsRecorder.js';

const SIGNIFICANT_DIGITS = 2;

/**
 * Creates a histogram for durations of up to `highestMs`, with two significant digits.
 *
 * @example
 * createLatencyHistogram(60_000).recordValue(12);
 */
const createLatencyHistogram: CreateHistogram = (highestMs) =>
  build({ highestTrackableValue: highestMs, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });

export default createLatencyHistogram;
