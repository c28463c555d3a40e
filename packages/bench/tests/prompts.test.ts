/**
 * @module Replays of requests with prompts of different lengths, on a model of passes.
 *
 * Aims: short prompts are in time at least as often as on a pool without long ones of the same token
 * load, and the largest tenth and the fifth below it are served at least 0.8 as often as all.
 */
import { test } from 'node:test';
import { createRandom } from '@ebonysill/emulator';
import { expect } from 'earl';
import { drawChart } from '../src/prompts/chart.js';
import { CAPTIONS, PARKING, type Pool } from '../src/prompts/deployments.js';
import { BY_WORK, PERFECT, POLICIES, PREVIOUS, type Policy } from '../src/prompts/policies.js';
import {
  MAX_PROMPT_TOKENS,
  announceUsually,
  drawRequests,
  heavyTail,
  sizeWith,
  type Draw,
  type PromptMix,
} from '../src/prompts/prompt-mix.js';
import { replay, type ReplayOptions } from '../src/prompts/replay.js';
import type ReplayOutcome from '../src/prompts/ReplayOutcome.js';
import {
  firstEventMsAt,
  inTimeShare,
  servedShare,
  splitByLength,
  splitIntoTenths,
} from '../src/prompts/summary.js';

const SEEDS: readonly number[] = [1, 2];

const SPAN_MS = 10_000;

/** Prompts from this length on are long, twice the usual. */
const LONG_TOKENS = 1_700;

/** Requests of the larger bands are served at least this much as often as all. */
const LEAST_RATIO = 0.8;

/** Multiple of the usual load at which some requests are late or refused by any policy. */
const HIGH_LOAD = 2.2;

interface Case {
  readonly pool: Pool;
  readonly loadFactor: number;
  readonly seed: number;
  readonly mix?: Partial<PromptMix>;
  readonly options?: Partial<ReplayOptions>;
  readonly policy?: Policy;
}

const run = (given: Case): readonly ReplayOutcome[] => {
  const { pool, loadFactor, seed, mix = {}, options = {}, policy = BY_WORK } = given;
  const requests = drawRequests(
    {
      spanMs: SPAN_MS,
      gatewayCount: pool.gatewayCount,
      perSecondAt: () => pool.requestsPerSecond * loadFactor,
      draw: heavyTail(620),
      announce: announceUsually,
      ...mix,
    },
    createRandom(seed),
  );
  return replay(requests, { ...pool, policy, random: createRandom(seed + 100), ...options });
};

const tokensOf = (outcomes: readonly ReplayOutcome[]): number =>
  outcomes.reduce((sum, { request }) => sum + request.size.promptTokens, 0);

const shortOf = (outcomes: readonly ReplayOutcome[]): readonly ReplayOutcome[] =>
  outcomes.filter(({ request }) => request.size.promptTokens < LONG_TOKENS);

/** Share of short prompts in time on a pool without long ones of the same token load. */
const shareWithoutLong = (given: Case, outcomes: readonly ReplayOutcome[]): number => {
  const { mix: { draw = heavyTail(620) } = {}, pool, loadFactor } = given;
  const withoutLong: Draw = (atMs, random) => {
    const drawn = draw(atMs, random);
    return drawn.size.promptTokens < LONG_TOKENS ? drawn : withoutLong(atMs, random);
  };
  const runAt = (factor: number): readonly ReplayOutcome[] =>
    run({
      ...given,
      mix: {
        ...given.mix,
        draw: withoutLong,
        perSecondAt: () => pool.requestsPerSecond * factor,
      },
    });
  const factor = (loadFactor * tokensOf(outcomes)) / tokensOf(runAt(loadFactor));
  return inTimeShare(runAt(factor), pool);
};

const expectAims = (given: Case): void => {
  const { pool } = given;
  const outcomes = run(given);
  const shortShare = inTimeShare(shortOf(outcomes), pool);
  expect(shortShare >= shareWithoutLong(given, outcomes)).toEqual(true);
  const [, fifth, longest] = splitByLength(outcomes);
  [fifth, longest].forEach((band) => {
    const bandOutcomes = band?.outcomes ?? [];
    expect(servedShare(bandOutcomes) >= LEAST_RATIO * servedShare(outcomes)).toEqual(true);
    expect(inTimeShare(bandOutcomes, pool) >= LEAST_RATIO * inTimeShare(outcomes, pool)).toEqual(
      true,
    );
  });
};

const expectAimsOnBoth = (
  changes: Partial<Case>,
  loads: readonly (readonly [Pool, number])[] = [
    [CAPTIONS, HIGH_LOAD],
    [PARKING, 1],
  ],
): void => {
  loads.forEach(([pool, loadFactor]) =>
    SEEDS.forEach((seed) => expectAims({ pool, loadFactor, seed, ...changes })),
  );
};

// Guards against short prompts behind long ones, and against long ones that are starved.
test('a heavy tail of long prompts meets the aims', () => {
  expectAimsOnBoth({}, [
    [CAPTIONS, 1],
    [CAPTIONS, HIGH_LOAD],
    [PARKING, 1],
    [PARKING, HIGH_LOAD],
  ]);
});

const isBurst = (atMs: number): boolean => atMs >= 4_000 && atMs < 5_500;

// Guards against a second of mostly long prompts that makes short ones late for the rest of the day.
test('a burst of long prompts meets the aims', () => {
  const draw: Draw = (atMs, random) => heavyTail(620, isBurst(atMs) ? 0.8 : 0.1)(atMs, random);
  expectAimsOnBoth({ mix: { draw } }, [
    [CAPTIONS, 1],
    [PARKING, 1],
  ]);
});

// Guards against placement that depends on hints which callers get wrong or lie about.
test('hints too short, too long, missing and absurd meet the aims', () => {
  const announcements: readonly PromptMix['announce'][] = [
    (size) => ({ ...size, maxAnswerTokens: 58, answerTokensHint: size.answerTokens / 10 }),
    (size) => ({ ...size, maxAnswerTokens: 58, answerTokensHint: size.answerTokens * 10 }),
    () => ({ promptTokens: 0 }),
    (_size, random) => ({
      promptTokens: random() < 0.5 ? 1 : 999_999_999,
      maxAnswerTokens: 999_999_999,
      answerTokensHint: random() < 0.5 ? 1e-6 : 999_999_999,
    }),
  ];
  announcements.forEach((announce) => expectAimsOnBoth({ mix: { announce } }));
});

// Guards against one organisation whose long prompts make those of all others late.
test('an organisation that sends only long prompts leaves the others in time', () => {
  const draw: Draw = (atMs, random) =>
    random() < 0.2
      ? { organisation: 'long', size: sizeWith(MAX_PROMPT_TOKENS, random) }
      : heavyTail(620, 0)(atMs, random);
  expectAimsOnBoth({ mix: { draw } }, [
    [CAPTIONS, 1.6],
    [PARKING, 1],
  ]);
});

// Guards against a gateway that knows no loads yet and sends where the others have sent.
test('requests at a gateway that has just started are in time as often as the others', () => {
  SEEDS.forEach((seed) => {
    const startedAtMs = 5_000;
    const lastGateway = CAPTIONS.gatewayCount - 1;
    const outcomes = run({
      pool: CAPTIONS,
      loadFactor: 1.8,
      seed,
      options: { lastStartsAtMs: startedAtMs },
    }).filter(({ request: { atMs } }) => atMs >= startedAtMs && atMs < startedAtMs + 1_000);
    const ofNew = outcomes.filter(({ request }) => request.gateway === lastGateway);
    const ofOthers = outcomes.filter(({ request }) => request.gateway !== lastGateway);
    expect(ofNew.length > 0).toEqual(true);
    expect(servedShare(ofNew) >= servedShare(ofOthers)).toEqual(true);
    expect(inTimeShare(ofNew, CAPTIONS) >= 0.9 * inTimeShare(ofOthers, CAPTIONS)).toEqual(true);
  });
});

// Guards against gateways that all choose what looked idle before.
test('loads that arrive 200 ms late meet the aims', () => {
  expectAimsOnBoth({ options: { delayMs: 200 } });
});

// Guards against gateways that all choose what looked idle longer than two broadcasts before.
test('loads that arrive 700 ms late meet the aims', () => {
  expectAimsOnBoth({ options: { delayMs: 700 } });
});

// Guards against gateways that all choose what looked idle two seconds before.
test('loads that arrive 2,000 ms late meet the aims', () => {
  expectAimsOnBoth({ options: { delayMs: 2_000 } });
});

// Guards against slots counted as taken, or as free, because a message was lost.
test('a lost tenth of the messages meets the aims', () => {
  expectAimsOnBoth({ options: { lossShare: 0.1 } });
});

// Guards against a decision that serves fewer than the one it replaces.
test('at high load at least as many are served in time as by the number of requests', () => {
  [CAPTIONS, PARKING].forEach((pool) => {
    const shareOf = (policy: Policy): number =>
      SEEDS.reduce(
        (sum, seed) => sum + inTimeShare(run({ pool, loadFactor: HIGH_LOAD, seed, policy }), pool),
        0,
      );
    expect(shareOf(BY_WORK) >= shareOf(PREVIOUS)).toEqual(true);
  });
});

// Guards against gateways that send to the same targets: by the number of requests, one request in
// six is rejected at the usual load of parking, and 93 in 100 are in time.
test('with loads 200 ms late hardly any request is rejected or late', () => {
  SEEDS.forEach((seed) => {
    const outcomes = run({ pool: PARKING, loadFactor: 1, seed, options: { delayMs: 200 } });
    const rejected = outcomes.filter(({ rejectionCount }) => rejectionCount > 0);
    expect(rejected.length <= 0.01 * outcomes.length).toEqual(true);
    expect(inTimeShare(outcomes, PARKING) >= 0.99).toEqual(true);
  });
});

// Guards against short prompts that wait for long ones: by the number of requests, 99 in 100 begin
// within 1.4 times the time that perfect knowledge needs.
test('short prompts begin within 1.15 times the time of perfect knowledge', () => {
  SEEDS.forEach((seed) => {
    const latencyOf = (policy: Policy): number =>
      firstEventMsAt(shortOf(run({ pool: PARKING, loadFactor: 1.6, seed, policy })), 0.99);
    expect(latencyOf(BY_WORK) <= 1.15 * latencyOf(PERFECT)).toEqual(true);
  });
});

// Guards against a picture without one of the lines, and against points that are no numbers.
test('the picture has a line for each policy, pool and quantile', () => {
  const cases = [CAPTIONS, PARKING].map((pool) => ({
    pool: pool.name,
    conditions: 'usual load',
    policies: POLICIES.map((policy) => ({
      name: policy.name,
      outcomes: run({ pool, loadFactor: 1, seed: 1, mix: { spanMs: 500 }, policy }),
    })),
  }));
  const picture = drawChart(cases);
  expect(picture.split('fill="none"').length - 1).toEqual(POLICIES.length * 4);
  expect(picture.includes('NaN')).toEqual(false);
});

// Guards against tenths that leave out a request, or that are not in order.
test('tenths by prompt length hold all requests, the shortest first', () => {
  const outcomes = run({ pool: CAPTIONS, loadFactor: 1, seed: 1, mix: { spanMs: 1_000 } });
  const lengths = splitIntoTenths(outcomes).map((tenth) =>
    tenth.map(({ request }) => request.size.promptTokens),
  );
  expect(lengths.length).toEqual(10);
  expect(lengths.flat()).toEqual(
    outcomes.map(({ request }) => request.size.promptTokens).sort((left, right) => left - right),
  );
});
