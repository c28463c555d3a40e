/** @module Findings of the check of a published configuration. */

/** How serious a finding is. */
export enum Severity {
  /** Gateways refuse the configuration, or cannot do what the entry says. */
  Error = 'error',
  /** The entry takes effect, but probably not the intended one. */
  Warning = 'warning',
  /** What changes for callers against the version in force. */
  Difference = 'difference',
}

/** Name of the rule that a finding is of. */
export enum RuleName {
  RepeatedField = 'repeated-field',
  InvalidField = 'invalid-field',
  UnknownField = 'unknown-field',
  IgnoredField = 'ignored-field',
  InvalidVersion = 'invalid-version',
  UnmatchedHost = 'unmatched-host',
  UnmatchedPrefix = 'unmatched-prefix',
  HiddenRoute = 'hidden-route',
  RouteWithoutService = 'route-without-service',
  UnknownService = 'unknown-service',
  SplitWeight = 'split-weight',
  ServiceWithoutRoute = 'service-without-route',
  RepeatedName = 'repeated-name',
  RepeatedCredential = 'repeated-credential',
  EmptyCredential = 'empty-credential',
  NoCredentials = 'no-credentials',
  StreamOnlyField = 'stream-only-field',
  Timeout = 'timeout',
  Attempts = 'attempts',
  Priority = 'priority',
  ObjectiveOverTimeout = 'objective-over-timeout',
  TimeoutUnderEngine = 'timeout-under-engine',
  ObjectiveUnderEngine = 'objective-under-engine',
  PauseUnderEngine = 'pause-under-engine',
  EngineProfile = 'engine-profile',
  EngineMemory = 'engine-memory',
  ColdLimit = 'cold-limit',
  CallerLimits = 'caller-limits',
  VersionNotHigher = 'version-not-higher',
  RouteAdded = 'route-added',
  RouteRemoved = 'route-removed',
  RouteChanged = 'route-changed',
  RouteOpened = 'route-opened',
  RouteClosed = 'route-closed',
  CredentialsRemoved = 'credentials-removed',
  CredentialMoved = 'credential-moved',
  CredentialsAdded = 'credentials-added',
  OrganisationPriority = 'organisation-priority',
  ServiceChanged = 'service-changed',
  LimitChanged = 'limit-changed',
}

/** Which of the two files a finding is in. */
export enum Version {
  Next = 'next',
  Base = 'base',
}

/** Names of fields and positions in lists, from the outermost. */
export type FieldPath = readonly (string | number)[];

/** What a rule found, and where. */
export interface Finding {
  readonly severity: Severity;
  readonly rule: RuleName;
  readonly version: Version;
  /** Path by the names of the decoded configuration; by published names if a document rule found it. */
  readonly path: FieldPath;
  readonly text: string;
}

/** Path and text of a finding. */
export type FoundAt = Pick<Finding, 'path' | 'text'>;

/** Creates findings of one rule in the new version. */
export type CreateFinding = (path: FieldPath, text: string) => Finding;

/**
 * Returns a function that creates findings of one rule in the new version.
 *
 * @example
 * const create = findingsOf(Severity.Error, RuleName.HiddenRoute);
 */
export const findingsOf =
  (severity: Severity, rule: RuleName): CreateFinding =>
  (path, text) => ({ severity, rule, version: Version.Next, path, text });

const MAX_NAME_LENGTH = 80;

/**
 * Quotes a name from a file, shortened and without control characters.
 *
 * @example
 * quote('app.example'); // '"app.example"'
 */
export const quote = (name: string): string =>
  JSON.stringify(name.length > MAX_NAME_LENGTH ? `${name.slice(0, MAX_NAME_LENGTH)}…` : name);
