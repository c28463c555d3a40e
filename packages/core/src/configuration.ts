/** @module The fleet's configuration, as published by the operators. */

/** What kind of back end a service has. */
export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}

/** How the interrupted stream of an idempotent call continues at another target. */
export enum Continuation {
  /** The engine resumes after the text that was already delivered. */
  Resume = 'resume',
  /** The engine's answer is deterministic: rerun the call and skip what was already delivered. */
  DeterministicRestart = 'deterministic-restart',
  /** The stream cannot continue; it ends with an error that the caller can see. */
  None = 'none',
}

/** Whether the targets of a service detect a repeated idempotency key themselves. */
export enum DuplicateCheck {
  None = 'none',
  /** Every target of the service refuses to run one key twice, also after a restart. */
  Key = 'key',
}

/** State of an availability zone, as set by the operators. */
export enum ZoneState {
  InService = 'in-service',
  OutOfService = 'out-of-service',
}

/** A call that is safe to repeat. */
export interface IdempotentCall {
  /** HTTP method in upper case. */
  readonly method: string;
  /** Prefix of the call's path. */
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
  /** Time from arrival to the deadline: the default, and the maximum that a request may set. */
  readonly deadlineMs: number;
}

/** One target and the sidecar beside it. */
export interface TargetConfiguration {
  readonly targetId: string;
  readonly service: string;
  readonly availabilityZone: string;
  /** IP address of the sidecar. */
  readonly sidecarHost: string;
  readonly sidecarPort: number;
  /** Requests that the target runs concurrently when warm. */
  readonly concurrency: number;
  /** Requests that the target can run concurrently during a cold start. */
  readonly coldConcurrency: number;
}

/** One organisation and its limits. */
export interface OrganisationConfiguration {
  readonly organisationId: string;
  /** SHA-256 digest of the credential, in hexadecimal. */
  readonly credentialSha256: string;
  /** Limit of requests in progress at each entry process. */
  readonly maxInProgress: number;
  /** Relative share of an entry process's capacity while requests queue. */
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
  /** IP address of the sidecar. */
  readonly sidecarHost: string;
  readonly sidecarPort: number;
}

/** Ranks that execute the same steps together, on one expert map. */
export interface GroupConfiguration {
  readonly groupId: string;
  /** Ordered by rank number. */
  readonly ranks: readonly RankConfiguration[];
}

/** The complete configuration at one revision. */
export interface Configuration {
  readonly revision: number;
  readonly availabilityZones: readonly ZoneConfiguration[];
  readonly services: readonly ServiceConfiguration[];
  readonly targets: readonly TargetConfiguration[];
  readonly organisations: readonly OrganisationConfiguration[];
  readonly groups: readonly GroupConfiguration[];
}
