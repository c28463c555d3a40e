/** @module Public interface of the command line. */
export { answersSchema, type Answers } from './answers.js';
export { describeChanges } from './describe-changes.js';
export { generateConfiguration, type GeneratedConfiguration } from './generate-configuration.js';
export { default as formatStatus } from './formatStatus.js';
export { formatExplanation, type ProcessExplanation } from './format-explanation.js';
export { formatBurnPage, formatBurnTable } from './format-burn.js';
export { mergeBurn, type BurnLine } from './merge-burn.js';
export {
  default as checkConfiguration,
  type CheckReport,
  type LocatedFinding,
} from './config-check/checkConfiguration.js';
export {
  createConfigCommand,
  type Checks,
  type LoadChecks,
} from './config-check/create-config-command.js';
export { default as defaultRules } from './config-check/default-rules.js';
export { RuleName, Severity, Version } from './config-check/finding.js';
export { formatFinding, formatJson, formatPath, formatText } from './config-check/format-report.js';
export { readBoundedText } from './config-check/read-bounded-text.js';
export {
  DocumentVerdict,
  readDocument,
  type DocumentResult,
} from './config-check/read-document.js';
