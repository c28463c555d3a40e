/** @module Counters and latency histograms, from the log effects of decisions. */
import { LogTopic, type LogEffect } from '@ebonysill/gateway';
import { build, type Histogram } from 'hdr-histogram-js';

const MAX_DURATION_MS = 60_000;

const MAX_SERIES = 256;

const PERCENTILES: readonly number[] = [50, 90, 99];

const createHistogram = (): Histogram =>
  build({ highestTrackableValue: MAX_DURATION_MS, numberOfSignificantValueDigits: 2 });

/** Counts decisions by topic and ended requests by route, outcome and reason. */
export default class MetricsRecorder {
  readonly #counters = new Map<string, number>();

  readonly #histograms = new Map<string, Histogram>();

  private constructor() {}

  /**
   * Creates a recorder without counts.
   *
   * @example
   * const metrics = MetricsRecorder.create();
   */
  static create(): MetricsRecorder {
    return new MetricsRecorder();
  }

  /** Counts one decision. */
  note({ topic, fields }: LogEffect): void {
    this.#count(`ebonysill_decisions_total{topic="${topic}"}`);
    if (topic !== LogTopic.RequestEnded) {
      return;
    }
    const { service = '', outcome = '', reason = '' } = fields;
    const labels = `{service="${service}",outcome="${outcome}",reason="${reason}"}`;
    this.#count(`ebonysill_requests_total${labels}`);
    this.#record('ebonysill_request_duration_ms', service, fields.durationMs);
    this.#record('ebonysill_first_event_ms', service, fields.firstEventMs);
    this.#record('ebonysill_longest_pause_ms', service, fields.longestPauseMs);
  }

  /** The page in the usual text format. */
  format(): string {
    const counters = [...this.#counters].map(([name, value]) => `${name} ${value}`);
    const quantiles = [...this.#histograms].flatMap(([name, histogram]) =>
      PERCENTILES.map(
        (percentile) =>
          `${name.replace('}', `,quantile="${percentile / 100}"}`)} ${histogram.getValueAtPercentile(percentile)}`,
      ),
    );
    const resident = `ebonysill_resident_bytes ${process.memoryUsage.rss()}`;
    return [...counters, ...quantiles, resident, ''].join('\n');
  }

  #count(name: string): void {
    if (this.#counters.has(name) || this.#counters.size < MAX_SERIES) {
      this.#counters.set(name, (this.#counters.get(name) ?? 0) + 1);
    }
  }

  #record(name: string, service: string, valueMs: number | undefined): void {
    if (valueMs === undefined) {
      return;
    }
    const key = `${name}{service="${service}"}`;
    const known = this.#histograms.get(key);
    if (known === undefined && this.#histograms.size >= MAX_SERIES) {
      return;
    }
    const histogram = known ?? createHistogram();
    this.#histograms.set(key, histogram);
    histogram.recordValue(Math.min(valueMs, MAX_DURATION_MS));
  }
}
