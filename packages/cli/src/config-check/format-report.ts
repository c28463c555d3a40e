/** @module Formats the findings of a check as lines or as JSON. */
import type { CheckReport, LocatedFinding } from './checkConfiguration.js';
import { Severity, Version, type FieldPath } from './finding.js';

/** Names of the files of a check, as on the command line. */
export interface CheckedFiles {
  readonly file: string;
  readonly against?: string;
}

const PLAIN_NAME = /^[\w-]{1,64}$/;

const MAX_NAME_LENGTH = 64;

/** Names that are no plain words are quoted, so that no name looks like a path or breaks the line. */
const formatPart = (part: string | number, index: number): string => {
  if (typeof part === 'number') {
    return `[${part}]`;
  }
  return PLAIN_NAME.test(part)
    ? `${index === 0 ? '' : '.'}${part}`
    : `[${JSON.stringify(part.slice(0, MAX_NAME_LENGTH))}]`;
};

/**
 * Formats the path of a field.
 *
 * @example
 * formatPath(['routes', 2, 'timeout-ms']); // 'routes[2].timeout-ms'
 */
export const formatPath = (path: FieldPath): string => path.map(formatPart).join('');

const fileOf = ({ version }: LocatedFinding, { file, against }: CheckedFiles): string =>
  version === Version.Base ? (against ?? file) : file;

/**
 * Formats a finding as one line that editors can follow.
 *
 * @example
 * formatFinding(finding, { file: 'new.json' });
 * // 'new.json:12:7: error: routes[2].host: the host is empty [unmatched-host]'
 */
export const formatFinding = (finding: LocatedFinding, files: CheckedFiles): string => {
  const { line, column, severity, path, text, rule } = finding;
  const field = path.length === 0 ? '' : `${formatPath(path)}: `;
  return `${fileOf(finding, files)}:${line}:${column}: ${severity}: ${field}${text} [${rule}]`;
};

const countOf = ({ findings }: CheckReport, wanted: Severity): number =>
  findings.filter(({ severity }) => severity === wanted).length;

const formatCount = (count: number, noun: string): string =>
  `${count} ${noun}${count === 1 ? '' : 's'}`;

/**
 * Formats a report as one line per finding and a summary.
 *
 * @example
 * formatText(report, { file: 'new.json' }); // 'new.json: 0 errors, 0 warnings\n'
 */
export const formatText = (report: CheckReport, files: CheckedFiles): string => {
  const summary = [
    formatCount(countOf(report, Severity.Error), 'error'),
    formatCount(countOf(report, Severity.Warning), 'warning'),
    ...(files.against === undefined
      ? []
      : [formatCount(countOf(report, Severity.Difference), 'difference')]),
  ].join(', ');
  const remarks = [
    ...(report.omittedCount > 0 ? [`${report.omittedCount} more findings are not listed`] : []),
    ...(report.isDecoded
      ? []
      : ['gateways cannot decode the file, so only its fields were checked']),
  ];
  return [
    ...report.findings.map((finding) => formatFinding(finding, files)),
    `${[`${files.file}: ${summary}`, ...remarks].join('; ')}\n`,
  ].join('\n');
};

/**
 * Formats a report as a JSON document.
 *
 * @example
 * JSON.parse(formatJson(report, { file: 'new.json' })).findings.length;
 */
export const formatJson = (report: CheckReport, files: CheckedFiles): string => {
  const document = {
    ...files,
    isDecoded: report.isDecoded,
    omittedCount: report.omittedCount,
    errorCount: countOf(report, Severity.Error),
    warningCount: countOf(report, Severity.Warning),
    differenceCount: countOf(report, Severity.Difference),
    findings: report.findings.map((finding) => ({
      severity: finding.severity,
      rule: finding.rule,
      file: fileOf(finding, files),
      path: finding.path,
      line: finding.line,
      column: finding.column,
      text: finding.text,
    })),
  };
  return `${JSON.stringify(document, undefined, 2)}\n`;
};
