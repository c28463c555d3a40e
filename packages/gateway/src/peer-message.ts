/** @module Messages between the processes of the system, apart from their encoding. */
import type { RankCountDelta, RankPlacement, RankReport } from './rank-data.js';

/** Role of a process. */
export enum PeerRole {
  Gateway = 'gateway',
  RankAgent = 'rank-agent',
}

/** Kind of a message. */
export enum PeerMessageKind {
  Hello = 'hello',
  Members = 'members',
  MembersUnchanged = 'members-unchanged',
  EngineLimits = 'engine-limits',
  FindTargets = 'find-targets',
  TargetAddresses = 'target-addresses',
  GroupTargets = 'group-targets',
  Load = 'load',
  LoadChange = 'load-change',
  CrashReport = 'crash-seen',
  Suspects = 'suspects',
  QuerySuspects = 'query-suspects',
  TargetNotices = 'target-notices',
  QueryStartState = 'query-start-state',
  StartState = 'start-state',
  RankState = 'rank-state',
  RankCountDelta = 'rank-increase',
  QueryState = 'tell-state',
  PrepareMap = 'prepare-map',
  HoldStep = 'hold-step',
  ConfirmHold = 'confirm-hold',
  HoldConfirmed = 'hold-confirmed',
  ArmMap = 'arm-map',
  ReleaseStep = 'release-step',
  DisarmMap = 'disarm-map',
}

/** A process of the system, as others know it. */
export interface Member {
  readonly name: string;
  readonly role: PeerRole;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Service of the engine beside an agent. */
  readonly serviceName?: string;
  /** Group of the engine beside an agent, once it is known. */
  readonly groupName?: string;
}

/** Announces a process to another one and requests the members that it knows. */
export interface HelloMessage {
  readonly kind: PeerMessageKind.Hello;
  readonly member: Member;
  /** Digest of the last member list received from the contact; absent before the first. */
  readonly knownDigest?: number;
}

/** The sender and the members whose hellos it received directly. */
export interface MembersMessage {
  readonly kind: PeerMessageKind.Members;
  readonly members: readonly Member[];
  readonly digest: number;
}

/** Confirms the last member list that the sender sent. */
export interface MembersUnchangedMessage {
  readonly kind: PeerMessageKind.MembersUnchanged;
  readonly digest: number;
}

/** Announces to an agent the limits of its engine that operators published. */
export interface EngineLimitsMessage {
  readonly kind: PeerMessageKind.EngineLimits;
  /** Experts that one rank holds in each layer set at most. */
  readonly placesPerRank: number;
  /** Experts of one layer set that may be new to a rank in one change. */
  readonly spareCapacity: number;
  /** Time for which a rank copies the weights of one expert. */
  readonly expertCopyMs: number;
}

/** Asks a gateway for the targets of a service. */
export interface FindTargetsMessage {
  readonly kind: PeerMessageKind.FindTargets;
  readonly serviceName: string;
}

/** Published addresses of the targets of a service. */
export interface TargetAddressesMessage {
  readonly kind: PeerMessageKind.TargetAddresses;
  /** IP addresses and ports. */
  readonly addresses: readonly string[];
}

/** Published addresses of the engines of one group, which execute each forward pass together. */
export interface GroupTargetsMessage {
  readonly kind: PeerMessageKind.GroupTargets;
  readonly groupName: string;
  /** IP addresses and ports. */
  readonly addresses: readonly string[];
}

/** Requests that one gateway has at one target. */
export interface TargetCount {
  readonly instanceId: string;
  readonly count: number;
  /** Their outstanding work, in tokens read; absent when the gateway does not know it. */
  readonly workTokens?: number;
  /** Those with a long prompt that has not been read; absent for none. */
  readonly longCount?: number;
}

/** Duration of a pass of one pool of targets, as one gateway measures it. */
export interface PassEstimate {
  readonly pool: string;
  readonly passMs: number;
}

/** Requests of one gateway that end in one pool of targets. */
export interface PoolRate {
  readonly pool: string;
  readonly endsPerSecond: number;
}

/** Refusals that one message reports at most. */
export const MAX_REPORTED_REFUSALS = 16;

/** A request that was refused, and when its caller comes back. */
export interface ReportedRefusal {
  /** Digest of method, path, credential and body. */
  readonly digest: number;
  /** Service that had no place; absent when the cause lay with the gateway. */
  readonly service?: string;
  /** Refusals so far that concerned one gateway each. */
  readonly localCount: number;
  readonly dueInMs: number;
  /** Time until the caller's deadline. */
  readonly expiresInMs: number;
}

/** All requests that a gateway has in progress, by target, and the passes that it measures. */
export interface LoadMessage {
  readonly kind: PeerMessageKind.Load;
  readonly counts: readonly TargetCount[];
  readonly passes: readonly PassEstimate[];
  /** Age of the sender's copy of the store; absent in messages of earlier versions. */
  readonly copyAgeMs?: number;
  /** Absent like the age, or when none end. */
  readonly rates?: readonly PoolRate[];
  /** Requests that the sender refused since its last message; absent when there are none. */
  readonly refusals?: readonly ReportedRefusal[];
}

/** New count of requests at one target, sent at once so that other gateways choose another one. */
export interface LoadChangeMessage extends TargetCount {
  readonly kind: PeerMessageKind.LoadChange;
  /** Other targets whose load has become less since the last message. */
  readonly ended?: readonly TargetCount[];
}

/** A crash of a target, with its age because the processes share no clock. */
export interface ReportedCrash {
  readonly instanceId: string;
  readonly ageMs: number;
  readonly fingerprint: string;
  readonly segments: readonly string[];
}

/** Time since a target last began to answer a request with a prompt segment. */
export interface ReportedAnswer {
  readonly segment: string;
  readonly ageMs: number;
}

/** A target has just crashed before it began to answer a request. */
export interface CrashReportMessage {
  readonly kind: PeerMessageKind.CrashReport;
  readonly fingerprint: string;
  readonly instanceId: string;
  readonly segments: readonly string[];
  /** What the sender knows of the segments. */
  readonly answers: readonly ReportedAnswer[];
}

/** Crashes for which requests are refused, and answers that narrow down their cause. */
export interface SuspectsMessage {
  readonly kind: PeerMessageKind.Suspects;
  readonly crashes: readonly ReportedCrash[];
  readonly answers: readonly ReportedAnswer[];
}

/** Asks a gateway for the crashes for which it refuses requests. */
export interface QuerySuspectsMessage {
  readonly kind: PeerMessageKind.QuerySuspects;
}

/** Limit that a target names for the requests of all gateways together. */
export interface ReportedLimit {
  readonly instanceId: string;
  /** Time since the target said so last. */
  readonly ageMs: number;
  /** Absent when the target names no limit any more. */
  readonly maxRequestsPerSecond?: number;
}

/** A target that said that it leaves; one of the same name with another start does not. */
export interface ReportedLeaving {
  readonly instanceId: string;
  /** As in the entry of the target. */
  readonly startedAtMs?: number;
}

/** Time for which a target wants no request from one gateway. */
export interface ReportedPause {
  readonly gatewayAddress: string;
  readonly instanceId: string;
  readonly remainingMs: number;
}

/** What targets said of themselves in their answers. */
export interface TargetNoticesMessage {
  readonly kind: PeerMessageKind.TargetNotices;
  readonly limits: readonly ReportedLimit[];
  readonly leaving: readonly ReportedLeaving[];
  /** Pauses of the sender, or of the recipient before its start. */
  readonly pauses: readonly ReportedPause[];
}

/**
 * Asks a gateway for what a process that starts can learn from its peers only. Crashes are answered
 * with `Suspects`, limits, leavings and pauses with `TargetNotices`, the rest with `StartState`.
 */
export interface QueryStartStateMessage {
  readonly kind: PeerMessageKind.QueryStartState;
}

/** Retries for a service that a gateway took from its share of the additional retries. */
export interface ServiceCount {
  readonly serviceName: string;
  readonly count: number;
}

/** What a gateway knows; counts that do not fit one datagram follow in further ones. */
export interface StartStateMessage {
  readonly kind: PeerMessageKind.StartState;
  /** Whether the sender is itself still asking, so that it may know less than others. */
  readonly isStarting: boolean;
  /** Version of the configuration that the sender has in force; 0 before the first. */
  readonly version: number;
  /** How often the store had been restored when the sender last heard of it. */
  readonly era?: number;
  /** Retries in the window of the retry budget. */
  readonly spentRetries: readonly ServiceCount[];
  /** Requests that all gateways sent to cold targets in the last second. */
  readonly coldStarts: readonly TargetCount[];
}

/**
 * State of a rank, reported by the agent beside it. `HoldConfirmed` also means that the agent will
 * retain the hold in the report.
 */
export interface RankStateMessage {
  readonly kind: PeerMessageKind.RankState | PeerMessageKind.HoldConfirmed;
  readonly report: RankReport;
  /** Time since the agent asked the engine for the report. */
  readonly ageMs: number;
  /** IP address and port of the engine, used when its agent does not answer. */
  readonly engineAddress: string;
}

/** Requests the state of an agent's rank, also to check that the agent responds. */
export interface QueryStateMessage {
  readonly kind: PeerMessageKind.QueryState;
  readonly groupName: string;
}

/** How often one rank chose each expert since its last message, and the experts that it holds. */
export interface RankCountDeltaMessage {
  readonly kind: PeerMessageKind.RankCountDelta;
  readonly groupName: string;
  readonly rank: number;
  readonly increase: RankCountDelta;
}

/** Asks an agent to have its rank copy the experts of a map. */
export interface PrepareMapMessage {
  readonly kind: PeerMessageKind.PrepareMap;
  readonly groupName: string;
  readonly epoch: number;
  readonly version: number;
  readonly placement: RankPlacement;
}

/**
 * Asks an agent to have its rank hold or release a step, or to retain the hold of a step until a
 * message releases it.
 */
export interface StepMessage {
  readonly kind:
    PeerMessageKind.HoldStep | PeerMessageKind.ReleaseStep | PeerMessageKind.ConfirmHold;
  readonly groupName: string;
  readonly epoch: number;
  readonly step: number;
}

/** Asks an agent to have its rank switch to a map at a step. */
export interface ArmMapMessage {
  readonly kind: PeerMessageKind.ArmMap;
  readonly groupName: string;
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
}

/** Asks an agent to cancel an arm order. */
export interface DisarmMapMessage {
  readonly kind: PeerMessageKind.DisarmMap;
  readonly groupName: string;
  readonly epoch: number;
  readonly version: number;
}

/** Any message between processes. */
export type PeerMessage =
  | HelloMessage
  | MembersMessage
  | MembersUnchangedMessage
  | EngineLimitsMessage
  | FindTargetsMessage
  | TargetAddressesMessage
  | GroupTargetsMessage
  | LoadMessage
  | LoadChangeMessage
  | CrashReportMessage
  | SuspectsMessage
  | QuerySuspectsMessage
  | TargetNoticesMessage
  | QueryStartStateMessage
  | StartStateMessage
  | RankStateMessage
  | QueryStateMessage
  | RankCountDeltaMessage
  | PrepareMapMessage
  | StepMessage
  | ArmMapMessage
  | DisarmMapMessage;
