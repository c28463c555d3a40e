/** @module Reads and checks files that are named on the command line. */
import { readFile } from 'node:fs/promises';
import type { Configuration } from '@ebonysill/core';
import {
  SettingsVerdict,
  describeProblem,
  parseConfiguration,
  parseSettings,
  type SettingsResult,
} from '@ebonysill/settings';
import { answersSchema, type Answers } from './answers.js';
import { ExitCode, reportFailure } from './output.js';

const valueOrReport = <TValue>(result: SettingsResult<TValue>): TValue | undefined => {
  if (result.kind === SettingsVerdict.Accepted) {
    return result.value;
  }
  reportFailure(ExitCode.Configuration, result.problems.map(describeProblem));
  return undefined;
};

const readText = async (file: string): Promise<string | undefined> => {
  try {
    return await readFile(file, 'utf8');
  } catch {
    reportFailure(ExitCode.NoInput, [`${file}: the file cannot be read`]);
    return undefined;
  }
};

/** Reads a configuration; if it is unreadable or invalid, reports that and returns undefined. */
export const readConfiguration = async (file: string): Promise<Configuration | undefined> => {
  const text = await readText(file);
  return text === undefined ? undefined : valueOrReport(parseConfiguration(text, file));
};

/** Reads answers; if they are unreadable or invalid, reports that and returns undefined. */
export const readAnswers = async (file: string): Promise<Answers | undefined> => {
  const text = await readText(file);
  return text === undefined ? undefined : valueOrReport(parseSettings(answersSchema, text, file));
};
