/** @module Sizes of the two pools that are replayed, one group of ranks each. */
import type { EngineCosts } from '@ebonysill/scheduling';
import type { ReplayOptions } from './replay.js';

/** A pool with its objective and the rate of requests that it gets. */
export interface Pool extends Pick<
  ReplayOptions,
  'rankCount' | 'speeds' | 'costs' | 'gatewayCount' | 'delayMs' | 'lossShare'
> {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly objectiveMs: number;
  readonly maxGapMs: number;
}

const poolOf = (
  name: string,
  {
    rankCount,
    gatewayCount,
    stepMs,
    readTokensPerSecond,
    kvCacheTokens,
    requestsPerSecond,
  }: {
    readonly rankCount: number;
    readonly gatewayCount: number;
    readonly stepMs: number;
    readonly readTokensPerSecond: number;
    readonly kvCacheTokens: number;
    readonly requestsPerSecond: number;
  },
): Pool => {
  // The time per sequence is not stated for these pools; assumed.
  const perSequenceMs = 0.2;
  const costs: EngineCosts = {
    usual: { promptTokens: 850, answerTokens: 23 },
    readTokensPerSecond,
    perSequenceMs,
    kvCacheTokens,
  };
  return {
    name,
    rankCount,
    gatewayCount,
    costs,
    speeds: {
      slots: 7,
      maxWaitingCount: 3,
      stepsPerPass: 4,
      stepMs,
      perSequenceMs,
      readTokensPerSecond,
      chunkTokens: 512,
    },
    requestsPerSecond,
    objectiveMs: 403,
    maxGapMs: 120,
    delayMs: 5,
    lossShare: 0,
  };
};

/** One of three groups, with a third of the streams. */
export const CAPTIONS = poolOf('captions', {
  rankCount: 24,
  gatewayCount: 6,
  stepMs: 5.85,
  readTokensPerSecond: 61_200,
  kvCacheTokens: 217_000,
  requestsPerSecond: 55.2,
});

/** The only group, with all streams. */
export const PARKING = poolOf('parking', {
  rankCount: 72,
  gatewayCount: 22,
  stepMs: 4.84,
  readTokensPerSecond: 74_800,
  kvCacheTokens: 288_166,
  requestsPerSecond: 190.2,
});
