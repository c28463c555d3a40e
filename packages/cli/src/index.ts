/** @module Public interface of the command line. */
export { answersSchema, type Answers } from './answers.js';
export { describeChanges } from './describe-changes.js';
export { generateConfiguration, type GeneratedConfiguration } from './generate-configuration.js';
export { default as formatStatus } from './formatStatus.js';
export { formatExplanation, type ProcessExplanation } from './format-explanation.js';
export { formatBurnPage, formatBurnTable } from './format-burn.js';
export { mergeBurn, type BurnLine } from './merge-burn.js';
