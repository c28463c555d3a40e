/** @module Latencies of one run, and how they compare. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Recorded resolution: one microsecond. */
const MICROSECONDS_PER_MS = 1_000;

const MAX_LATENCY_MICROSECONDS = 600_000_000;

/** What one side of a comparison measured. */
export interface LatencySummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly requestsPerSecond: number;
}

/** Records latencies. */
export class LatencySample {
  readonly #histogram: Histogram = build({
    highestTrackableValue: MAX_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });

  #totalBatchMs = 0;

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
    this.#histogram.recordValue(Math.max(Math.round(latencyMs * MICROSECONDS_PER_MS), 1));
  }

  /** Adds the wall time that a batch of requests took. */
  addBatchDuration(durationMs: number): void {
    this.#totalBatchMs += durationMs;
  }

  /** Sums the sample up. */
  summarise(): LatencySummary {
    return {
      p50Ms: this.#histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p99Ms: this.#histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
      requestsPerSecond: (this.#histogram.totalCount * 1_000) / this.#totalBatchMs,
    };
  }
}
