/**
 * @module Work that a request causes at a target, from what its caller announced.
 *
 * Load pattern: prompts and answers of very different lengths, announced by callers that may be
 * wrong or lie. Requests counted as one each fill some ranks with ten times the tokens of others.
 */
import type { RequestSize } from './demand.js';

/** Token counts that a caller announced; each may be missing or wrong. */
export interface AnnouncedTokens {
  /** 0 when the caller did not send the number. */
  readonly promptTokens: number;
  readonly maxAnswerTokens?: number;
  readonly answerTokensHint?: number;
}

/** What requests cost at an engine. */
export interface EngineCosts {
  /** Mean size of the requests. */
  readonly usual: RequestSize;
  /** Tokens of prompts that a rank reads in a second; 0 when not known. */
  readonly readTokensPerSecond: number;
  /** Time by which one more sequence lengthens a step; 0 when not known. */
  readonly perSequenceMs: number;
  /** Tokens that a rank keeps in memory; 0 when not known. */
  readonly kvCacheTokens: number;
}

/** Work of a request at a target, in tokens read or as many as take the same time. */
export interface RequestWork {
  /** Outstanding until the first event. */
  readonly readTokens: number;
  /** Outstanding until the end of the answer. */
  readonly writeTokens: number;
  /** Whether the prompt keeps short ones at the same target waiting until it has been read. */
  readonly isLong: boolean;
}

/** Determines the size of a request. */
export type SizeRequest = (announced: AnnouncedTokens, engine: EngineCosts) => RequestSize;

/** Determines the work of a request of some size. */
export type WorkOf = (size: RequestSize, engine: EngineCosts) => RequestWork;

/** Multiple of the usual work that a request counts at least, whatever its caller announced. */
const MIN_WORK = 0.25;

/** Multiple of the usual work that a request counts at most. */
const MAX_WORK = 4;

/** Multiple of the usual prompt from which a prompt is long: a seventh, with exponential lengths. */
const LONG_PROMPT = 2;

const MS_PER_SECOND = 1_000;

const isPositive = (value: number | undefined): value is number =>
  value !== undefined && Number.isFinite(value) && value > 0;

/**
 * Size by the announced counts, or the usual one in place of those that are missing. The hint counts
 * only within the announced maximum, and a prompt only as far as it fits the memory of a target.
 *
 * @example
 * sizeRequest({ promptTokens: 900, maxAnswerTokens: 40, answerTokensHint: 400 }, engine);
 * // { promptTokens: 900, answerTokens: 40 }
 */
export const sizeRequest: SizeRequest = (
  { promptTokens, maxAnswerTokens, answerTokensHint },
  { usual, kvCacheTokens },
) => {
  const announcedTokens = isPositive(promptTokens) ? promptTokens : usual.promptTokens;
  const expectedTokens = isPositive(answerTokensHint) ? answerTokensHint : usual.answerTokens;
  return {
    promptTokens: isPositive(kvCacheTokens)
      ? Math.min(kvCacheTokens, announcedTokens)
      : announcedTokens,
    answerTokens: isPositive(maxAnswerTokens)
      ? Math.min(maxAnswerTokens, expectedTokens)
      : expectedTokens,
  };
};

/** Tokens read in the time by which one token of an answer lengthens its step. */
const tokensPerAnswerToken = ({ readTokensPerSecond, perSequenceMs }: EngineCosts): number => {
  const tokens = (readTokensPerSecond * perSequenceMs) / MS_PER_SECOND;
  return isPositive(tokens) ? tokens : 1;
};

const unboundedWorkOf = (size: RequestSize, engine: EngineCosts): number =>
  size.promptTokens + size.answerTokens * tokensPerAnswerToken(engine);

/**
 * Work of a request of the usual size.
 *
 * @example
 * usualWorkTokens(engine); // 1_030
 */
export const usualWorkTokens = (engine: EngineCosts): number =>
  unboundedWorkOf(engine.usual, engine);

/**
 * Work of a request, at least a quarter and at most four times that of a usual one, in whole tokens.
 *
 * @example
 * workOf({ promptTokens: 2_800, answerTokens: 30 }, engine).isLong; // true
 */
export const workOf: WorkOf = (size, engine) => {
  const usualTokens = usualWorkTokens(engine);
  const tokens = unboundedWorkOf(size, engine);
  const boundedTokens = Math.min(MAX_WORK * usualTokens, Math.max(MIN_WORK * usualTokens, tokens));
  const readTokens = boundedTokens * (size.promptTokens / tokens);
  return {
    readTokens: Math.round(readTokens),
    writeTokens: Math.round(boundedTokens - readTokens),
    isLong: size.promptTokens >= LONG_PROMPT * engine.usual.promptTokens,
  };
};

/** Determines the work of a request by what its caller announced. */
export type MeasureRequest = (announced: AnnouncedTokens, engine: EngineCosts) => RequestWork;

/**
 * Work of a request of the announced size.
 *
 * @example
 * measureRequest({ promptTokens: 2_800 }, engine).isLong; // true
 */
export const measureRequest: MeasureRequest = (announced, engine) =>
  workOf(sizeRequest(announced, engine), engine);
