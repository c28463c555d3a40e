/** @module Rules for the fields of a file. */
import { RuleName, Severity, findingsOf } from './finding.js';
import type { DocumentRule } from './rule.js';

/** Reports fields that an object lists twice: gateways use the last one. */
export const findRepeatedFields: DocumentRule = ({ repeatedFields }) =>
  repeatedFields.map((path) =>
    findingsOf(Severity.Error, RuleName.RepeatedField)(
      path,
      'the field is listed more than once; gateways use the last one',
    ),
  );

/** Reports missing and mistyped fields, because of which gateways close the item. */
export const findInvalidFields: DocumentRule = ({ format }) =>
  format.invalidFields.map(({ path, text }) =>
    findingsOf(Severity.Error, RuleName.InvalidField)(path, text),
  );

/** Reports fields that gateways do not read. */
export const findUnknownFields: DocumentRule = ({ format }) =>
  format.unknownFields.map(({ path, text }) =>
    findingsOf(Severity.Warning, RuleName.UnknownField)(path, text),
  );

/** Reports fields whose values gateways treat as not published. */
export const findIgnoredFields: DocumentRule = ({ format }) =>
  format.ignoredFields.map(({ path, text }) =>
    findingsOf(Severity.Warning, RuleName.IgnoredField)(
      path,
      `${text}; gateways treat the value as not published`,
    ),
  );
