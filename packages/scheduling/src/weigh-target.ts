/**
 * @module Decides by measured results how much load a target carries.
 *
 * Load pattern: targets that are slow, cold or flapping, or grey: they pass health checks, but a tenth
 * of their calls fail or take eight times as long. With few requests they look the least loaded.
 */

/** Results of the calls to one target, of which older ones count less. */
export interface TargetResults {
  readonly callCount: number;
  readonly failureCount: number;
  /** Its latency over the median of its service; 1 when unknown. */
  readonly latencyRatio: number;
}

/** Decides which part of the usual load a target carries: over 0, up to 1. */
export type WeighTarget = (results: TargetResults) => number;

/** Calls without failure assumed before the first one, so that one failure does not decide. */
const ASSUMED_SUCCESSES = 4;

/** A tenth of failed calls takes a third of the load away, a half of them 15 of 16 parts. */
const FAILURE_EXPONENT = 4;

/** Latencies vary by this factor with the length of prompts. */
const USUAL_LATENCY_RATIO = 2;

/** Enough load to measure whether a target has recovered. */
const MIN_WEIGHT = 0.05;

/**
 * Weight that falls with the share of failed calls and with latencies over twice the median.
 *
 * @example
 * weighTarget({ callCount: 40, failureCount: 0, latencyRatio: 8 }); // 0.25
 */
export const weighTarget: WeighTarget = ({ callCount, failureCount, latencyRatio }) => {
  const successShare = 1 - failureCount / (callCount + ASSUMED_SUCCESSES);
  const latencyWeight = Math.min(1, USUAL_LATENCY_RATIO / latencyRatio);
  return Math.max(MIN_WEIGHT, successShare ** FAILURE_EXPONENT * latencyWeight);
};
