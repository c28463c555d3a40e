/** @module Histograms of latency; kept apart, so that processes without latency do not load them. */
import { build } from 'hdr-histogram-js';
import type { CreateHistogram } from './MetricsRecorder.js';

const SIGNIFICANT_DIGITS = 2;

/**
 * Creates a histogram of durations up to a bound.
 *
 * @example
 * createLatencyHistogram(60_000).recordValue(12);
 */
const createLatencyHistogram: CreateHistogram = (highestMs) =>
  build({ highestTrackableValue: highestMs, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS });

export default createLatencyHistogram;
