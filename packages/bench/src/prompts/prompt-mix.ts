/** @module Arrivals of requests with prompts of different lengths, and what their callers announce. */
import type { Random } from '@ebonysill/emulator';
import type { AnnouncedTokens, RequestSize } from '@ebonysill/scheduling';

/** A request of a replay. */
export interface PromptRequest {
  readonly id: number;
  readonly atMs: number;
  /** Index of the gateway that gets it. */
  readonly gateway: number;
  readonly organisation: string;
  readonly size: RequestSize;
  readonly announced: AnnouncedTokens;
}

/** What a caller announces of a request. */
export type Announce = (size: RequestSize, random: Random) => AnnouncedTokens;

/** Size and organisation of the next request at a time. */
export type Draw = (atMs: number, random: Random) => Pick<PromptRequest, 'organisation' | 'size'>;

/** Arrivals by their rate, sizes and announcements. */
export interface PromptMix {
  readonly spanMs: number;
  readonly gatewayCount: number;
  readonly perSecondAt: (atMs: number) => number;
  readonly draw: Draw;
  readonly announce: Announce;
}

const SHARED_PROMPT_TOKENS = 40;

/** Longest own part of a prompt. */
export const MAX_PROMPT_TOKENS = 2_880;

const MEAN_ANSWER_TOKENS = 23;

const MAX_ANSWER_TOKENS = 58;

const MS_PER_SECOND = 1_000;

const exponential = (mean: number, random: Random): number => -mean * Math.log(1 - random());

const within = (least: number, most: number, value: number): number =>
  Math.round(Math.min(most, Math.max(least, value)));

/**
 * Size of a request with a prompt of some own length and an answer of exponential length.
 *
 * @example
 * sizeWith(2_880, random).promptTokens; // 2_920
 */
export const sizeWith = (ownTokens: number, random: Random): RequestSize => ({
  promptTokens: SHARED_PROMPT_TOKENS + within(1, MAX_PROMPT_TOKENS, ownTokens),
  answerTokens: within(1, MAX_ANSWER_TOKENS, exponential(MEAN_ANSWER_TOKENS, random)),
});

/**
 * Sizes with a heavy tail: one request in ten is near the longest, the others have `shortMean`.
 *
 * @example
 * const draw = heavyTail(550);
 */
export const heavyTail =
  (shortMean: number, longShare = 0.1): Draw =>
  (_atMs, random) =>
    random() < longShare
      ? { organisation: 'org-1', size: sizeWith(MAX_PROMPT_TOKENS * (0.8 + random() / 5), random) }
      : {
          organisation: `org-${Math.floor(random() * 24)}`,
          size: sizeWith(Math.min(1_100, exponential(shortMean, random)), random),
        };

/**
 * Announces the prompt and the maximum; the hint is right at the median and often far off.
 *
 * @example
 * announceUsually(size, random).answerTokensHint;
 */
export const announceUsually: Announce = ({ promptTokens, answerTokens }, random) => ({
  promptTokens,
  maxAnswerTokens: MAX_ANSWER_TOKENS,
  answerTokensHint: answerTokens * Math.exp(2 * (random() + random() - 1)),
});

/**
 * Draws the requests of a mix, in order of their arrival.
 *
 * @example
 * drawRequests(mix, createRandom(1));
 */
export const drawRequests = (mix: PromptMix, random: Random): readonly PromptRequest[] => {
  const requests: PromptRequest[] = [];
  let atMs = exponential(MS_PER_SECOND / mix.perSecondAt(0), random);
  while (atMs < mix.spanMs) {
    const drawn = mix.draw(atMs, random);
    requests.push({
      id: requests.length,
      atMs,
      gateway: Math.floor(random() * mix.gatewayCount),
      announced: mix.announce(drawn.size, random),
      ...drawn,
    });
    atMs += exponential(MS_PER_SECOND / mix.perSecondAt(atMs), random);
  }
  return requests;
};
