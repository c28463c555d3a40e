/** @module Rules of the check, and what they read. */
import type { PublishedConfiguration } from '@ebonysill/gateway';
import type { FieldPath, Finding } from './finding.js';

/** What is wrong with one field. */
export interface FieldProblem {
  /** Path by published names. */
  readonly path: FieldPath;
  readonly text: string;
}

/** What the fields of a configuration contain. */
export interface CheckedFormat {
  /** Absent unless every field can be read. */
  readonly configuration?: PublishedConfiguration;
  /** Fields that gateways cannot read: each closes its item, the version the whole configuration. */
  readonly invalidFields: readonly FieldProblem[];
  /** Fields that gateways do not read. */
  readonly unknownFields: readonly FieldProblem[];
  /** Fields that gateways read, but whose values they replace. */
  readonly ignoredFields: readonly FieldProblem[];
  /** Path by published names of a path in the decoded configuration. */
  readonly publishedPathOf: (path: FieldPath) => FieldPath;
}

/** Decodes a configuration and checks its fields; does not throw. */
export type CheckFormat = (value: unknown) => CheckedFormat;

/** A configuration file before it is decoded. */
export interface DocumentInput {
  readonly format: CheckedFormat;
  /** Paths of fields that an object lists more than once. */
  readonly repeatedFields: readonly FieldPath[];
}

/** A configuration, and the one in force if it is given. */
export interface ConfigurationInput {
  readonly next: PublishedConfiguration;
  readonly base?: PublishedConfiguration;
}

/** Checks the fields of a file. */
export type DocumentRule = (input: DocumentInput) => readonly Finding[];

/** Checks a configuration that gateways can decode. */
export type ConfigurationRule = (input: ConfigurationInput) => readonly Finding[];

/** The rules of a check. */
export interface RuleSet {
  readonly documentRules: readonly DocumentRule[];
  readonly configurationRules: readonly ConfigurationRule[];
}
