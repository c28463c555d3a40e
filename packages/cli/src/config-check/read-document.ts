/** @module Reads JSON text strictly, as gateways do, and locates its fields. */
import {
  createScanner,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import type { FieldPath } from './finding.js';

/** Whether a text could be read. */
export enum DocumentVerdict {
  Read = 'read',
  Refused = 'refused',
}

/** Line and column, both from 1; the column counts UTF-16 code units. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/** A text that was read. */
export interface JsonDocument {
  readonly value: unknown;
  /** Paths of fields that an object lists more than once. */
  readonly repeatedFields: readonly FieldPath[];
  /** Position of a field's name or a list's item, or of the nearest one around a missing field. */
  readonly positionOf: (path: FieldPath) => Position;
}

/** A text that was read, or why it could not be. */
export type DocumentResult =
  | { readonly kind: DocumentVerdict.Read; readonly document: JsonDocument }
  | { readonly kind: DocumentVerdict.Refused; readonly position: Position; readonly text: string };

/** What the reader accepts at most. */
export interface DocumentLimits {
  readonly maxDepth: number;
  /** Bounds the memory for the positions, of which each value needs one. */
  readonly maxValues: number;
}

const lineStartsOf = (text: string): readonly number[] => {
  const starts = [0];
  for (let at = text.indexOf('\n'); at !== -1; at = text.indexOf('\n', at + 1)) {
    starts.push(at + 1);
  }
  return starts;
};

/** Index of the last line that starts at or before an offset, by binary search. */
const lineIndexAt = (lineStarts: readonly number[], offset: number): number => {
  let low = 0;
  let high = lineStarts.length - 1;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if ((lineStarts[middle] ?? 0) <= offset) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low;
};

const createPositionAt = (text: string): ((offset: number) => Position) => {
  const lineStarts = lineStartsOf(text);
  return (offset) => {
    const index = lineIndexAt(lineStarts, offset);
    return { line: index + 1, column: offset - (lineStarts[index] ?? 0) + 1 };
  };
};

interface Fault {
  readonly offset: number;
  readonly text: string;
}

/** Values of the library's `SyntaxKind`, a const enum, which isolated modules cannot use. */
enum Token {
  OpenBrace = 1,
  CloseBrace = 2,
  OpenBracket = 3,
  CloseBracket = 4,
  Null = 7,
  True = 8,
  False = 9,
  Text = 10,
  Numeric = 11,
  EndOfFile = 17,
}

const CLOSER_OF: Readonly<Partial<Record<Token, Token>>> = {
  [Token.OpenBrace]: Token.CloseBrace,
  [Token.OpenBracket]: Token.CloseBracket,
};

const VALUE_KINDS: ReadonlySet<Token> = new Set([
  Token.Text,
  Token.Numeric,
  Token.True,
  Token.False,
  Token.Null,
]);

/**
 * Finds what the recursive parser must not be given. A bracket that does not match ends the search:
 * behind it the depth is not that of the parser.
 */
const findStructureFault = (
  text: string,
  { maxDepth, maxValues }: DocumentLimits,
): Fault | undefined => {
  const scanner = createScanner(text, true);
  const scan = (): Token => scanner.scan() as number;
  const openClosers: Token[] = [];
  let valueCount = 0;
  for (let token = scan(); token !== Token.EndOfFile; token = scan()) {
    const closer = CLOSER_OF[token];
    if (closer !== undefined) {
      openClosers.push(closer);
    } else if (token === Token.CloseBrace || token === Token.CloseBracket) {
      if (openClosers.pop() !== token) {
        return { offset: scanner.getTokenOffset(), text: 'a bracket closes nothing' };
      }
    }
    valueCount += closer !== undefined || VALUE_KINDS.has(token) ? 1 : 0;
    if (openClosers.length > maxDepth) {
      return { offset: scanner.getTokenOffset(), text: `nested more than ${maxDepth} levels deep` };
    }
    if (valueCount > maxValues) {
      return { offset: scanner.getTokenOffset(), text: `more than ${maxValues} names and values` };
    }
  }
  return undefined;
};

const describeError = (error: ParseError): string =>
  printParseErrorCode(error.error)
    .replace(/([a-z])([A-Z])/g, '$1 $2')
    .toLowerCase();

const findSyntaxFault = (errors: readonly ParseError[]): Fault => {
  const [first] = [...errors].sort((left, right) => left.offset - right.offset);
  return first === undefined
    ? { offset: 0, text: 'not JSON' }
    : { offset: first.offset, text: `not JSON: ${describeError(first)}` };
};

const parseStrictly = (text: string): { readonly value: unknown } | undefined => {
  try {
    return { value: JSON.parse(text) as unknown };
  } catch {
    return undefined;
  }
};

interface Child {
  readonly node: Node | undefined;
  /** Where the name of the field or the item of the list begins. */
  readonly offset: number;
}

const childrenOf = (node: Node): ReadonlyMap<string | number, Child> =>
  new Map(
    (node.children ?? []).map((child, index): [string | number, Child] => {
      const [name, value] = child.children ?? [];
      return node.type === 'object' && name !== undefined
        ? [String(name.value), { node: value, offset: name.offset }]
        : [index, { node: child, offset: child.offset }];
    }),
  );

/** Objects with many fields are indexed once, so that many findings in one take linear time. */
const createOffsetOf = (root: Node | undefined): ((path: FieldPath) => number) => {
  const indexed = new WeakMap<Node, ReadonlyMap<string | number, Child>>();
  const indexOf = (node: Node): ReadonlyMap<string | number, Child> => {
    const known = indexed.get(node) ?? childrenOf(node);
    indexed.set(node, known);
    return known;
  };
  const locate = (node: Node | undefined, offset: number, path: FieldPath): number => {
    const [name, ...rest] = path;
    const child = node === undefined || name === undefined ? undefined : indexOf(node).get(name);
    return child === undefined ? offset : locate(child.node, child.offset, rest);
  };
  return (path) => locate(root, root?.offset ?? 0, path);
};

const findRepeated = (node: Node, path: FieldPath): readonly FieldPath[] => {
  const names = new Set<string>();
  return (node.children ?? []).flatMap((child, index) => {
    if (node.type !== 'object') {
      return findRepeated(child, [...path, index]);
    }
    const [nameNode, valueNode] = child.children ?? [];
    const name = String(nameNode?.value);
    const childPath = [...path, name];
    const own = names.has(name) ? [childPath] : [];
    names.add(name);
    return valueNode === undefined ? own : [...own, ...findRepeated(valueNode, childPath)];
  });
};

/**
 * Reads JSON text. Comments and trailing commas are refused, since gateways refuse them too.
 *
 * @example
 * readDocument('{"a": 1}', { maxDepth: 100, maxValues: 1_000 }).kind; // DocumentVerdict.Read
 */
export const readDocument = (text: string, limits: DocumentLimits): DocumentResult => {
  const positionAt = createPositionAt(text);
  const refuse = (fault: Fault): DocumentResult => ({
    kind: DocumentVerdict.Refused,
    position: positionAt(fault.offset),
    text: fault.text,
  });
  const structureFault = findStructureFault(text, limits);
  if (structureFault !== undefined) {
    return refuse(structureFault);
  }
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { disallowComments: true });
  const parsed = parseStrictly(text);
  if (parsed === undefined || root === undefined) {
    return refuse(findSyntaxFault(errors));
  }
  const offsetOf = createOffsetOf(root);
  return {
    kind: DocumentVerdict.Read,
    document: {
      value: parsed.value,
      repeatedFields: findRepeated(root, []),
      positionOf: (path) => positionAt(offsetOf(path)),
    },
  };
};
