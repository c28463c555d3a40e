/** @module The fleet's configuration, as published by the operators. */

/** What kind of back end a service has. */
export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}

/** How a cut stream of an idempotent call may go on at another target. */
export enum Continuation {
  /** The engine resumes after the text that was already delivered. */
  Resume = 'resume',
  /** The engine's answer is deterministic: restart, and skip what was delivered. */
  DeterministicRestart = 'deterministic-restart',
  /** The stream cannot go on; the caller is told. */
  None = 'none',
}

/** Whether targets of a service recognise a repeated idempotency key by themselves. */
export enum DuplicateCheck {
  None = 'none',
  /** Every target of the service refuses to run one key twice, also after a restart. */
  Key = 'key',
}

/** Whether the operators have an availability zone in service. */
export enum ZoneState {
  InService = 'in-service',
  OutOfService = 'out-of-service',
}

/** A call that may be repeated without harm. */
export interface IdempotentCall {
  /** HTTP method, in capitals. */
  readonly method: string;
  /** Prefix of the path that the call's path starts with. */
  readonly pathPrefix: string;
}

/** One service: a model group or a plain service. */
export interface ServiceConfiguration {
  readonly name: string;
  readonly kind: ServiceKind;
  readonly continuation: Continuation;
  readonly duplicateCheck: DuplicateCheck;
  /** Calls of a plain service that are idempotent besides GET and HEAD. */
  readonly idempotentCalls: readonly IdempotentCall[];
  /** Deadline of a request that names none. */
  readonly deadlineMs: number;
}

/** One target and the sidecar beside it. */
export interface TargetConfiguration {
  readonly targetId: string;
  readonly service: string;
  readonly availabilityZone: string;
  /** IP number of the sidecar. */
  readonly sidecarHost: string;
  readonly sidecarPort: number;
  /** Requests that the target runs at once when warm. */
  readonly concurrency: number;
  /** Requests that the target bears at once in cold start. */
  readonly coldConcurrency: number;
}

/** One organisation and its limits. */
export interface OrganisationConfiguration {
  readonly organisationId: string;
  /** SHA-256 digest of the credential, in hexadecimal. */
  readonly credentialSha256: string;
  /** Requests in progress at one entry process. */
  readonly maxInProgress: number;
  /** Relative share of a contended entry process. */
  readonly weight: number;
}

/** One availability zone. */
export interface ZoneConfiguration {
  readonly name: string;
  readonly state: ZoneState;
}

/** One rank of a group, and the sidecar beside it. */
export interface RankConfiguration {
  readonly rankId: string;
  /** IP number of the sidecar. */
  readonly sidecarHost: string;
  readonly sidecarPort: number;
}

/** Ranks that run in lock-step on one expert map. */
export interface GroupConfiguration {
  readonly groupId: string;
  /** In the order of the ranks' numbers. */
  readonly ranks: readonly RankConfiguration[];
}

/** The whole configuration at one revision. */
export interface Configuration {
  readonly revision: number;
  readonly availabilityZones: readonly ZoneConfiguration[];
  readonly services: readonly ServiceConfiguration[];
  readonly targets: readonly TargetConfiguration[];
  readonly organisations: readonly OrganisationConfiguration[];
  readonly groups: readonly GroupConfiguration[];
}
