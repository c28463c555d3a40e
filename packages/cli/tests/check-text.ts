/** @module Runs `config check` on texts, for tests. */
import { checkFormat } from '@ebonysill/platform';
import {
  DocumentVerdict,
  checkConfiguration,
  defaultRules,
  formatPath,
  readDocument,
  type CheckReport,
  type DocumentResult,
} from '../src/index.js';

const LIMITS = { maxDepth: 100, maxValues: 10_000 };

/** Reads a text within the limits of the tests. */
export const readText = (text: string): DocumentResult => readDocument(text, LIMITS);

const documentOf = (text: string) => {
  const result = readText(text);
  if (result.kind === DocumentVerdict.Refused) {
    throw new Error(result.text);
  }
  return result.document;
};

/** Checks a text, against another one if it is given. */
export const checkText = (next: string, base?: string): CheckReport =>
  checkConfiguration({
    next: documentOf(next),
    ...(base === undefined ? {} : { base: documentOf(base) }),
    checkFormat,
    rules: defaultRules,
    maxPerRule: 50,
  });

/** A configuration by the names on the wire; tests replace its sections. */
export interface Published {
  readonly version: unknown;
  readonly routes: readonly object[];
  readonly services: readonly object[];
  readonly tenants?: readonly object[];
  readonly limits: object;
}

/** Findings as `severity rule path`, in the order of their places. */
export const listFindings = ({ findings }: CheckReport): readonly string[] =>
  findings.map(({ severity, rule, path }) => `${severity} ${rule} ${formatPath(path)}`);

/** Findings in a configuration, without the differences that tests of other rules cause. */
export const check = (next: object): readonly string[] =>
  listFindings(checkText(JSON.stringify(next)));

/** Findings in the next version of a configuration. */
export const compare = (next: object, base: object): readonly string[] =>
  listFindings(checkText(JSON.stringify({ ...next, version: 8 }), JSON.stringify(base)));
