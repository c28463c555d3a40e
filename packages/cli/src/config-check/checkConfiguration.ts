/** @module Checks a configuration file, and compares it with the one in force. */
import { Version, type FieldPath, type Finding } from './finding.js';
import type { JsonDocument, Position } from './read-document.js';
import type { CheckFormat, CheckedFormat, RuleSet } from './rule.js';

/** A finding with its place in the file. */
export interface LocatedFinding extends Finding, Position {
  /** Path by published names. */
  readonly path: FieldPath;
}

/** The files of a check, and by what they are checked. */
export interface CheckOptions {
  readonly next: JsonDocument;
  /** The configuration in force; if gateways cannot decode it, nothing else is checked. */
  readonly base?: JsonDocument;
  readonly checkFormat: CheckFormat;
  readonly rules: RuleSet;
  /** Findings of one rule that are reported at most. */
  readonly maxPerRule: number;
}

/** What the check of a configuration found. */
export interface CheckReport {
  /** By version, line and column. */
  readonly findings: readonly LocatedFinding[];
  /** Number of findings beyond the maximum of their rules. */
  readonly omittedCount: number;
  /** Whether the configuration could be decoded, so that all rules were applied. */
  readonly isDecoded: boolean;
  /** Why the configuration in force could not be decoded; empty if it could, and without one. */
  readonly baseFindings: readonly LocatedFinding[];
}

interface CheckedDocument {
  readonly document: JsonDocument;
  readonly format: CheckedFormat;
}

interface Found {
  readonly findings: readonly LocatedFinding[];
  readonly omittedCount: number;
}

const join = (found: readonly Found[]): Found => ({
  findings: found.flatMap(({ findings }) => findings),
  omittedCount: found.reduce((sum, { omittedCount }) => sum + omittedCount, 0),
});

const applyRule = (
  found: readonly Finding[],
  maxCount: number,
  locate: (finding: Finding) => LocatedFinding,
): Found => ({
  findings: found.slice(0, maxCount).map(locate),
  omittedCount: Math.max(0, found.length - maxCount),
});

const locateAt = (
  finding: Finding,
  document: JsonDocument,
  path: FieldPath = finding.path,
): LocatedFinding => ({ ...finding, path, ...document.positionOf(path) });

const applyDocumentRules = (
  { document, format }: CheckedDocument,
  { rules, maxPerRule }: CheckOptions,
): Found =>
  join(
    rules.documentRules.map((rule) =>
      applyRule(rule({ format, repeatedFields: document.repeatedFields }), maxPerRule, (finding) =>
        locateAt(finding, document),
      ),
    ),
  );

const applyConfigurationRules = (
  next: CheckedDocument,
  base: CheckedDocument | undefined,
  { rules, maxPerRule }: CheckOptions,
): Found => {
  const { configuration } = next.format;
  if (configuration === undefined) {
    return { findings: [], omittedCount: 0 };
  }
  const inForce = base?.format.configuration;
  const input = { next: configuration, ...(inForce === undefined ? {} : { base: inForce }) };
  const locate = (finding: Finding): LocatedFinding => {
    const { document, format } =
      finding.version === Version.Base && base !== undefined ? base : next;
    return locateAt(finding, document, format.publishedPathOf(finding.path));
  };
  return join(rules.configurationRules.map((rule) => applyRule(rule(input), maxPerRule, locate)));
};

const compareByPlace = (left: LocatedFinding, right: LocatedFinding): number =>
  Number(left.version === Version.Base) - Number(right.version === Version.Base) ||
  left.line - right.line ||
  left.column - right.column;

/**
 * Applies rules to a configuration.
 *
 * @example
 * checkConfiguration({ next: document, checkFormat, rules: defaultRules, maxPerRule: 1_000 }).findings;
 */
const checkConfiguration = (options: CheckOptions): CheckReport => {
  const { next, base, checkFormat } = options;
  const checkDocument = (document: JsonDocument): CheckedDocument => ({
    document,
    format: checkFormat(document.value),
  });
  const checkedBase = base === undefined ? undefined : checkDocument(base);
  if (checkedBase !== undefined && checkedBase.format.configuration === undefined) {
    const { findings } = applyDocumentRules(checkedBase, options);
    return { findings: [], omittedCount: 0, isDecoded: false, baseFindings: findings };
  }
  const checkedNext = checkDocument(next);
  const { findings, omittedCount } = join([
    applyDocumentRules(checkedNext, options),
    applyConfigurationRules(checkedNext, checkedBase, options),
  ]);
  return {
    findings: [...findings].sort(compareByPlace),
    omittedCount,
    isDecoded: checkedNext.format.configuration !== undefined,
    baseFindings: [],
  };
};

export default checkConfiguration;
