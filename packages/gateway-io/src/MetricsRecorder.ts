/** @module Counters and latency histograms, derived from log effects. */
import { LogTopic, type LogEffect, type LogFields } from '@ebonysill/gateway';

/** Limit of the histograms; longer durations are recorded as this value. */
const MAX_DURATION_MS = 60_000;

/** Maximum number of counters and of histograms; further series are dropped to bound memory. */
const MAX_SERIES = 256;

const PERCENTILES: readonly number[] = [50, 90, 99];

/** Histogram of durations in milliseconds. */
export interface DurationHistogram {
  readonly recordValue: (valueMs: number) => void;
  readonly getValueAtPercentile: (percentile: number) => number;
}

/** Creates a histogram for durations of up to `highestMs`. */
export type CreateHistogram = (highestMs: number) => DurationHistogram;

/** Counts log effects by topic, and ended requests by service, outcome and reason. */
export default class MetricsRecorder {
  readonly #counters = new Map<string, number>();

  readonly #histograms = new Map<string, DurationHistogram>();

  /** Fields of the configuration in force that cannot be read. */
  readonly #unreadableFields = new Set<string>();

  private constructor(private readonly createHistogram: CreateHistogram | undefined) {}

  /**
   * Creates a recorder without counts; durations are recorded only with `createHistogram`.
   *
   * @example
   * const metrics = MetricsRecorder.create(createLatencyHistogram);
   */
  static create(createHistogram?: CreateHistogram): MetricsRecorder {
    return new MetricsRecorder(createHistogram);
  }

  /** Counts one log effect; records the durations of a request that ended. */
  recordDecision({ topic, fields }: LogEffect): void {
    this.#increment(`ebonysill_decisions_total{topic="${topic}"}`);
    this.#recordConfiguration(topic, fields);
    if (topic !== LogTopic.RequestEnded) {
      return;
    }
    const { service = '', outcome = '', reason = '' } = fields;
    const labels = `{service="${service}",outcome="${outcome}",reason="${reason}"}`;
    this.#increment(`ebonysill_requests_total${labels}`);
    this.#countDecisions(fields);
    this.#recordDuration('ebonysill_request_duration_ms', service, fields.durationMs);
    this.#recordDuration('ebonysill_first_event_ms', service, fields.firstEventMs);
    this.#recordDuration('ebonysill_longest_pause_ms', service, fields.longestPauseMs);
  }

  #recordConfiguration(topic: LogTopic, { item = '', field = '' }: LogFields): void {
    if (topic === LogTopic.ConfigurationApplied) {
      this.#unreadableFields.clear();
    } else if (topic === LogTopic.FieldUnreadable && this.#unreadableFields.size < MAX_SERIES) {
      this.#unreadableFields.add(`{item="${item}",field="${field}"}`);
    }
  }

  /** Counts what was given up for a cause. */
  recordDropped(cause: string): void {
    this.#increment(`ebonysill_dropped_total{cause="${cause}"}`);
  }

  /** Counts why requests waited and whom the cause of a refusal concerned. */
  #countDecisions({ service = '', reason = '', waitOutcome, scope }: LogFields): void {
    if (waitOutcome !== undefined) {
      this.#increment(`ebonysill_waits_total{service="${service}",outcome="${waitOutcome}"}`);
    }
    if (scope !== undefined) {
      this.#increment(`ebonysill_refusals_total{scope="${scope}",reason="${reason}"}`);
    }
  }

  /** All metrics in the Prometheus text format. */
  format(): string {
    const counters = [...this.#counters].map(([name, value]) => `${name} ${value}`);
    const quantiles = [...this.#histograms].flatMap(([name, histogram]) =>
      PERCENTILES.map(
        (percentile) =>
          `${name.replace('}', `,quantile="${percentile / 100}"}`)} ${histogram.getValueAtPercentile(percentile)}`,
      ),
    );
    const unreadable = [...this.#unreadableFields].map(
      (labels) => `ebonysill_configuration_unreadable${labels} 1`,
    );
    const resident = `ebonysill_resident_bytes ${process.memoryUsage.rss()}`;
    return [...counters, ...quantiles, ...unreadable, resident, ''].join('\n');
  }

  #increment(name: string): void {
    if (this.#counters.has(name) || this.#counters.size < MAX_SERIES) {
      this.#counters.set(name, (this.#counters.get(name) ?? 0) + 1);
    }
  }

  #recordDuration(name: string, service: string, valueMs: number | undefined): void {
    if (valueMs === undefined) {
      return;
    }
    const key = `${name}{service="${service}"}`;
    const existing = this.#histograms.get(key);
    if (existing === undefined && this.#histograms.size >= MAX_SERIES) {
      return;
    }
    const histogram = existing ?? this.createHistogram?.(MAX_DURATION_MS);
    if (histogram === undefined) {
      return;
    }
    this.#histograms.set(key, histogram);
    histogram.recordValue(Math.min(valueMs, MAX_DURATION_MS));
  }
}
