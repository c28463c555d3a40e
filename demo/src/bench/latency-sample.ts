/** @module Latencies of one run, and how they compare. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Recorded resolution: one microsecond. */
const UNITS_PER_MS = 1_000;

const MAX_VALUE = 600_000_000;

/** What one side of a comparison measured. */
export interface LatencySummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly requestsPerSecond: number;
}

/** Records latencies. */
export class LatencySample {
  readonly #histogram: Histogram = build({
    highestTrackableValue: MAX_VALUE,
    numberOfSignificantValueDigits: 3,
  });

  #busyMs = 0;

  private constructor() {}

  /**
   * Creates an empty sample.
   *
   * @example
   * const sample = LatencySample.create();
   */
  static create(): LatencySample {
    return new LatencySample();
  }

  /** Records one latency. */
  record(latencyMs: number): void {
    this.#histogram.recordValue(Math.max(Math.round(latencyMs * UNITS_PER_MS), 1));
  }

  /** Adds the wall time that a batch of requests took. */
  addBusy(durationMs: number): void {
    this.#busyMs += durationMs;
  }

  /** Sums the sample up. */
  summarise(): LatencySummary {
    return {
      p50Ms: this.#histogram.getValueAtPercentile(50) / UNITS_PER_MS,
      p99Ms: this.#histogram.getValueAtPercentile(99) / UNITS_PER_MS,
      requestsPerSecond: (this.#histogram.totalCount * 1_000) / this.#busyMs,
    };
  }
}
