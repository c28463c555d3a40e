/** @module Decoded entries that operators and targets publish in the store. */

/** How often a call may run, and how it is answered. */
export enum CallKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  NonIdempotent = 'non-idempotent',
  /** Answers with a series of events. */
  Streaming = 'streaming',
}

/** One of the services that a route leads to. */
export interface WeightedService {
  readonly service: string;
  /** Share of the route's requests, relative to the other weights. */
  readonly weight: number;
}

/** How requests to one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: CallKind;
  readonly services: readonly WeightedService[];
  readonly timeoutMs: number;
  /** Latency objective: to the complete answer, or to the first event of a stream. */
  readonly objectiveMs: number;
  /** Longest pause between stream events that meets the objective; 0 for no limit. */
  readonly maxPauseMs: number;
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether callers need no credential. */
  readonly isPublic: boolean;
  /** Whether a stream can be resumed at another target after its last delivered event. */
  readonly isResumable: boolean;
}

/** Mean sizes of the requests to a service. */
export interface UsualRequest {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Sizes and speeds of an engine, as published with its service. */
export interface EngineProfile {
  readonly slots: number;
  readonly stepsPerPass: number;
  readonly stepMs: number;
  readonly perSequenceMs: number;
  readonly readTokensPerSecond: number;
  /** Tokens of prompts that a rank reads in one step at most; 0 when not published. */
  readonly chunkTokens: number;
  /** Absent when not published, or not as positive numbers. */
  readonly usual?: UsualRequest;
  /** Effect of a thousand tokens of context on a step, as published; 0 when not published. */
  readonly contextPerThousand: number;
  /** Effect of a million pairs of tokens on a step, as published; 0 when not published. */
  readonly pairsPerMillion: number;
  /** Tokens that a rank keeps in memory at most; 0 when not published. */
  readonly kvCacheTokens: number;
  readonly expertFraction: number;
  /** Number of layer sets; the layers of a set share one choice of experts. */
  readonly layerSetCount: number;
  /** Number of experts in each layer set. */
  readonly expertCount: number;
  /** Experts that one rank holds in each layer set at most. */
  readonly placesPerRank: number;
  /** Experts of one layer set that may be new to a rank in one change. */
  readonly spareCapacity: number;
  /** Time for which a rank copies the weights of one expert. */
  readonly expertCopyMs: number;
}

/** An engine whose usual request is published. */
export type SizedEngine = EngineProfile & { readonly usual: UsualRequest };

/**
 * Whether the work of requests can be measured by the usual request.
 *
 * @example
 * isSized(service.engine); // false for a service without an engine
 */
export const isSized = (engine: EngineProfile | undefined): engine is SizedEngine =>
  engine?.usual !== undefined;

/** A service and the properties that its targets share. */
export interface PublishedService {
  readonly name: string;
  readonly healthPath: string;
  /** Requests per second that a cold target tolerates; 0 for no limit. */
  readonly coldPerSecond: number;
  readonly engine?: EngineProfile;
}

/** An organisation and its credentials. */
export interface Organisation {
  readonly name: string;
  readonly credentials: readonly string[];
  readonly priority?: number;
}

/** Longest head that a gateway reads. It is fixed when its server is created, whatever is published. */
export const MAX_HEADER_BYTES = 16_384;

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A field of a configuration that cannot be read. */
export interface UnreadableField {
  /** Section and position of its item, by published names. */
  readonly item: string;
  /** Empty when the item itself is of another type. */
  readonly field: string;
  readonly detail: string;
}

/** Where requests to a route come from. */
export type RoutePattern = Pick<Route, 'host' | 'pathPrefix'>;

/** Items of a configuration that cannot be read; the others are in force. */
export interface UnreadableItems {
  /** Routes of which only host and prefix can be read. */
  readonly closedRoutes: readonly RoutePattern[];
  /** Whether there are routes of which not even these can be read. */
  readonly hasUnplacedRoutes: boolean;
  /** Whether there are organisations that cannot be read; unknown credentials may be theirs. */
  readonly hasOrganisations: boolean;
  /** Whether there are services of which not even the name can be read. */
  readonly hasUnnamedServices: boolean;
  readonly fields: readonly UnreadableField[];
}

/**
 * A service of which only the name can be read; its cold targets get the least that any may bear.
 *
 * @example
 * boundedServiceOf('assistant').coldPerSecond; // 1
 */
export const boundedServiceOf = (name: string): PublishedService => ({
  name,
  healthPath: '/',
  coldPerSecond: 1,
});

/** One version of the operators' configuration. */
export interface PublishedConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly PublishedService[];
  /** Whether callers need credentials, even if no organisation or no credential is left. */
  readonly needsCredentials: boolean;
  readonly organisations: readonly Organisation[];
  readonly limits: CallerLimits;
  /** Absent when every item can be read. */
  readonly unreadable?: UnreadableItems;
}

/** Whether a target accepts new requests. */
export enum TargetPhase {
  Available = 'available',
  Leaving = 'leaving',
}

/** Entry that a target publishes about itself. */
export interface PublishedTarget {
  /** Usually identifies one incarnation; a restarted target may also keep its identifier. */
  readonly instanceId: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly phase: TargetPhase;
  /** Time for which the target stays cold; 0 when it is warm. */
  readonly coldRemainingMs: number;
  /** Unix time of its start in milliseconds, by its own clock; absent when it does not say. */
  readonly startedAtMs?: number;
}
