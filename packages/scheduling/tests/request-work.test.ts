/** @module Work of requests whose announced token counts are right, missing or absurd. */
import { test } from 'node:test';
import * as fc from 'fast-check';
import { expect } from 'earl';
import {
  sizeRequest,
  usualWorkTokens,
  workOf,
  type AnnouncedTokens,
  type EngineCosts,
} from '../src/index.js';

const ENGINE: EngineCosts = {
  usual: { promptTokens: 800, answerTokens: 20 },
  readTokensPerSecond: 60_000,
  perSequenceMs: 0.2,
  kvCacheTokens: 200_000,
};

const totalOf = (announced: AnnouncedTokens, engine = ENGINE): number => {
  const { readTokens, writeTokens } = workOf(sizeRequest(announced, engine), engine);
  return readTokens + writeTokens;
};

// Guards against requests that count nothing because their caller sends no numbers.
test('missing counts give the usual size', () => {
  expect(sizeRequest({ promptTokens: 0 }, ENGINE)).toEqual(ENGINE.usual);
});

// Guards against a caller that makes a short answer look long, or pays for a long one.
test('a hint counts only within the announced maximum', () => {
  const size = sizeRequest(
    { promptTokens: 100, maxAnswerTokens: 40, answerTokensHint: 4_000 },
    ENGINE,
  );
  expect(size).toEqual({ promptTokens: 100, answerTokens: 40 });
});

// Guards against a usual answer assumed for a request that announces a shorter one.
test('without a hint the usual answer counts within the maximum', () => {
  const size = sizeRequest({ promptTokens: 100, maxAnswerTokens: 5 }, ENGINE);
  expect(size.answerTokens).toEqual(5);
});

// Guards against prompts of callers that lie occupying a target on paper for minutes.
test('work is bounded by four times and a quarter of the usual', () => {
  const usual = usualWorkTokens(ENGINE);
  expect(totalOf({ promptTokens: 999_999_999 })).toEqual(4 * usual);
  expect(totalOf({ promptTokens: 1, answerTokensHint: 0.001 })).toEqual(usual / 4);
});

// Guards against long prompts that are not told from short ones.
test('a prompt of twice the usual length is long', () => {
  const isLong = (promptTokens: number): boolean =>
    workOf(sizeRequest({ promptTokens }, ENGINE), ENGINE).isLong;
  expect([1_599, 1_600].map(isLong)).toEqual([false, true]);
});

const number = fc.oneof(fc.double(), fc.constantFrom(0, -1, 1e300, Infinity, Number.MIN_VALUE));

// Guards against infinite or missing sums, which no later message would repair.
test('work is finite and within its bounds whatever the counts', () => {
  fc.assert(
    fc.property(number, number, number, (promptTokens, maxAnswerTokens, answerTokensHint) => {
      const usual = usualWorkTokens(ENGINE);
      const tokens = totalOf({ promptTokens, maxAnswerTokens, answerTokensHint });
      expect(tokens >= usual / 4 - 1 && tokens <= 4 * usual + 1).toEqual(true);
    }),
  );
});

// Guards against work that is no number when an engine publishes no speeds.
test('an engine without speeds counts read and written tokens alike', () => {
  const engine = { ...ENGINE, readTokensPerSecond: 0, perSequenceMs: 0, kvCacheTokens: 0 };
  expect(totalOf({ promptTokens: 800 }, engine)).toEqual(820);
});
