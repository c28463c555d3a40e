/** @module Parses JSON with comments, validates it, and locates each problem by line and field. */
import {
  findNodeAtLocation,
  parse,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import * as z from 'zod';

/** Whether settings were accepted. */
export enum SettingsVerdict {
  Accepted = 'accepted',
  Refused = 'refused',
}

/** One problem in a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Line number, from 1. */
  readonly line: number;
  /** Path of the field, such as `targets.0.concurrency`; empty for the whole file. */
  readonly field: string;
  /** What should be there instead, as a message. */
  readonly expected: string;
}

/** Validated settings, or the problems found in them. */
export type SettingsResult<TSettings> =
  | { readonly kind: SettingsVerdict.Accepted; readonly value: TSettings }
  | { readonly kind: SettingsVerdict.Refused; readonly problems: readonly SettingsProblem[] };

const lineAt = (text: string, offset: number): number => text.slice(0, offset).split('\n').length;

const syntaxProblem = (
  file: string,
  text: string,
  { error, offset }: ParseError,
): SettingsProblem => ({
  file,
  line: lineAt(text, offset),
  field: '',
  expected: `well-formed JSON with comments (${printParseErrorCode(error)})`,
});

/** The node at a path, or its nearest ancestor if the field is missing. */
const nearestNode = (
  root: Node | undefined,
  path: readonly (string | number)[],
): Node | undefined => {
  if (root === undefined || path.length === 0) {
    return root;
  }
  return findNodeAtLocation(root, [...path]) ?? nearestNode(root, path.slice(0, -1));
};

const problemsOf = (
  file: string,
  text: string,
  issues: readonly z.core.$ZodIssue[],
): readonly SettingsProblem[] => {
  const root = parseTree(text);
  return issues.flatMap((issue) => {
    const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
    const names = issue.code === 'unrecognized_keys' ? issue.keys : [undefined];
    return names.map((name) => {
      const fullPath = name === undefined ? path : [...path, name];
      return {
        file,
        line: lineAt(text, nearestNode(root, fullPath)?.offset ?? 0),
        field: fullPath.join('.'),
        expected: name === undefined ? issue.message : 'no such field',
      };
    });
  });
};

/**
 * Parses and validates settings. Unknown fields are refused.
 *
 * @example
 * const result = parseSettings(entrySettingsSchema, text, 'entry.jsonc');
 */
export const parseSettings = <TSettings>(
  schema: z.ZodType<TSettings>,
  text: string,
  file: string,
): SettingsResult<TSettings> => {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    const problems = errors.map((error) => syntaxProblem(file, text, error));
    return { kind: SettingsVerdict.Refused, problems };
  }
  const checked = schema.safeParse(value);
  return checked.success
    ? { kind: SettingsVerdict.Accepted, value: checked.data }
    : {
        kind: SettingsVerdict.Refused,
        problems: problemsOf(file, text, checked.error.issues),
      };
};

/**
 * Formats a problem as one line.
 *
 * @example
 * describeProblem(problem); // 'entry.jsonc:3: callerPort: expected number'
 */
export const describeProblem = ({ file, line, field, expected }: SettingsProblem): string =>
  `${file}:${line}: ${field === '' ? '' : `${field}: `}${expected}`;
