/** @module Runs a batch of requests with bounded concurrency. */
import type { LatencySample } from './latency-sample.js';

export interface BatchOptions {
  readonly requestCount: number;
  readonly concurrency: number;
  readonly send: (index: number) => Promise<void>;
  readonly sample: LatencySample;
}

const sendTimed = async ({ send, sample }: BatchOptions, index: number): Promise<void> => {
  const startMs = performance.now();
  await send(index);
  sample.record(performance.now() - startMs);
};

const sendRemaining = async (options: BatchOptions, next: () => number): Promise<void> => {
  const index = next();
  if (index < options.requestCount) {
    await sendTimed(options, index);
    await sendRemaining(options, next);
  }
};

/**
 * Sends a batch of requests and records their latencies; resolves when every request has ended.
 *
 * @example
 * await runBatch({ requestCount: 100, concurrency: 8, send, sample });
 */
export const runBatch = async (options: BatchOptions): Promise<void> => {
  let index = -1;
  const next = (): number => {
    index += 1;
    return index;
  };
  const startMs = performance.now();
  await Promise.all(
    Array.from({ length: options.concurrency }, () => sendRemaining(options, next)),
  );
  options.sample.addBatchDuration(performance.now() - startMs);
};
