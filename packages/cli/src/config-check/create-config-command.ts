/** @module The command `ebonysill config check`. */
import { command, oneOf, option, optional, positional, string, subcommands } from 'cmd-ts';
import { ExitCode, print, reportFailure } from '../output.js';
import checkConfiguration, { type CheckReport, type LocatedFinding } from './checkConfiguration.js';
import { Severity, Version } from './finding.js';
import { formatFinding, formatJson, formatText, type CheckedFiles } from './format-report.js';
import { TextVerdict, readBoundedText } from './read-bounded-text.js';
import { DocumentVerdict, readDocument, type JsonDocument } from './read-document.js';
import type { CheckFormat, RuleSet } from './rule.js';

/** What the command checks with. */
export interface Checks {
  readonly checkFormat: CheckFormat;
  readonly rules: RuleSet;
}

/** Loads what the command checks with. */
export type LoadChecks = () => Promise<Checks>;

/** Larger files cannot be published: gateways refuse answers of the store beyond this size. */
const MAX_FILE_BYTES = 16_777_216;

const DOCUMENT_LIMITS = {
  maxDepth: 100,
  // 43,000 organisations with two credentials each have 350,000. Each takes up to 1.3 KB if it is
  // mistyped: 4 million took over 4 GB, and the process ended.
  maxValues: 1_000_000,
};

/** Findings of one rule that are listed; more of the same kind help nobody. */
const MAX_FINDINGS_PER_RULE = 1_000;

enum OutputFormat {
  Text = 'text',
  Json = 'json',
}

const readJsonFile = async (file: string): Promise<JsonDocument | undefined> => {
  const read = await readBoundedText(file, MAX_FILE_BYTES);
  if (read.kind === TextVerdict.Refused) {
    reportFailure(ExitCode.NotChecked, [`${file}: error: ${read.reason}`]);
    return undefined;
  }
  const result = readDocument(read.text, DOCUMENT_LIMITS);
  if (result.kind === DocumentVerdict.Refused) {
    const { line, column } = result.position;
    reportFailure(ExitCode.NotChecked, [`${file}:${line}:${column}: error: ${result.text}`]);
    return undefined;
  }
  return result.document;
};

const isFault = ({ severity }: LocatedFinding): boolean => severity !== Severity.Difference;

const printReport = (report: CheckReport, files: CheckedFiles, format: OutputFormat): void => {
  const [baseFault] = report.baseFindings.filter(({ severity }) => severity === Severity.Error);
  if (baseFault !== undefined) {
    const line = formatFinding({ ...baseFault, version: Version.Base }, files);
    reportFailure(ExitCode.NotChecked, [line]);
    return;
  }
  print(format === OutputFormat.Json ? formatJson(report, files) : formatText(report, files));
  process.exitCode = report.findings.some(isFault) ? ExitCode.Findings : ExitCode.Ok;
};

const createCheckCommand = (loadChecks: LoadChecks) =>
  command({
    name: 'check',
    description: 'Checks a configuration before it is published',
    args: {
      file: positional({ type: string, displayName: 'NEW' }),
      against: option({
        type: optional(string),
        long: 'against',
        description: 'The configuration in force; what changes for callers is listed',
      }),
      format: option({
        type: oneOf([OutputFormat.Text, OutputFormat.Json]),
        long: 'format',
        description: 'Print lines (text) or a JSON document (json)',
        defaultValue: () => OutputFormat.Text,
      }),
    },
    handler: async ({ file, against, format }) => {
      const next = await readJsonFile(file);
      const base = against === undefined ? undefined : await readJsonFile(against);
      if (next === undefined || (against !== undefined && base === undefined)) {
        return;
      }
      const report = checkConfiguration({
        next,
        ...(base === undefined ? {} : { base }),
        ...(await loadChecks()),
        maxPerRule: MAX_FINDINGS_PER_RULE,
      });
      printReport(report, { file, ...(against === undefined ? {} : { against }) }, format);
    },
  });

/**
 * Creates the command `ebonysill config`.
 *
 * @example
 * subcommands({ name: 'ebonysill', cmds: { config: createConfigCommand(loadChecks) } });
 */
export const createConfigCommand = (loadChecks: LoadChecks) =>
  subcommands({
    name: 'config',
    description: 'Works with configurations that gateways read from the store',
    cmds: { check: createCheckCommand(loadChecks) },
  });
