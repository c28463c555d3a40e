/** @module Latency percentiles and throughput of a benchmark. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Latencies are recorded in microseconds. */
const MICROSECONDS_PER_MS = 1_000;

const MAX_LATENCY_MICROSECONDS = 600_000_000;

export interface LatencySummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly requestsPerSecond: number;
}

/** Histogram of latencies with the total duration of their batches. */
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

  record(latencyMs: number): void {
    this.#histogram.recordValue(Math.max(Math.round(latencyMs * MICROSECONDS_PER_MS), 1));
  }

  /** Adds the wall time of a batch of requests, from which throughput is computed. */
  addBatchDuration(durationMs: number): void {
    this.#totalBatchMs += durationMs;
  }

  summarise(): LatencySummary {
    return {
      p50Ms: this.#histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p99Ms: this.#histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
      requestsPerSecond: (this.#histogram.totalCount * 1_000) / this.#totalBatchMs,
    };
  }
}
