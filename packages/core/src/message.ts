/** @module Messages between the processes of the system, apart from their encoding. */
import type { ConfigurationDelta } from './configuration-delta.js';
import type { Configuration, Continuation } from './configuration.js';
import type { GateState, MapChange } from './expert-map.js';
import type { Problem } from './outcome.js';

/** Role of a process. */
export enum ProcessRole {
  Entry = 'entry',
  Sidecar = 'sidecar',
  RankSidecar = 'rank-sidecar',
}

/** State of a target as its sidecar sees it. */
export enum TargetState {
  Cold = 'cold',
  Warm = 'warm',
  Draining = 'draining',
  Down = 'down',
}

/** Kind of a message between processes. */
export enum MessageKind {
  Hello = 'hello',
  Heartbeat = 'heartbeat',
  HeartbeatAck = 'heartbeat-ack',
  ConfigurationRequest = 'configuration-request',
  ConfigurationValue = 'configuration-value',
  ConfigurationChange = 'configuration-change',
  MintKey = 'mint-key',
  KeyMinted = 'key-minted',
  KeyRefused = 'key-refused',
  Run = 'run',
  Tombstone = 'tombstone',
  Cancel = 'cancel',
  Credit = 'credit',
  RunHead = 'run-head',
  RunChunk = 'run-chunk',
  RunEnd = 'run-end',
  RunFailed = 'run-failed',
  MapQuery = 'map-query',
  MapState = 'map-state',
  MapPrepare = 'map-prepare',
  MapPrepared = 'map-prepared',
  MapDecide = 'map-decide',
  MapDecided = 'map-decided',
  MapRefused = 'map-refused',
  ExpertCounts = 'expert-counts',
}

/** Load of one target. */
export interface LoadReport {
  readonly targetId: string;
  readonly state: TargetState;
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Requests that the sidecar lets run at once at present. */
  readonly limit: number;
}

/** A request that was in progress when targets crashed. */
export interface CrashSuspicion {
  /** SHA-256 of the request's content. */
  readonly fingerprint: string;
  readonly crashCount: number;
}

/** An HTTP request to a target, as data. */
export interface TargetRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
}

/** First message on a link, in both directions. */
export interface HelloMessage {
  readonly kind: MessageKind.Hello;
  readonly processId: string;
  /** Drawn at random when the process starts. */
  readonly incarnation: string;
  readonly role: ProcessRole;
  readonly availabilityZone: string;
  readonly revision: number;
}

/** Asks the other side to show that it lives; carries what it should know. */
export interface HeartbeatMessage {
  readonly kind: MessageKind.Heartbeat;
  readonly revision: number;
  readonly load?: LoadReport;
  readonly suspicions?: readonly CrashSuspicion[];
}

/** Answers a heartbeat. */
export interface HeartbeatAckMessage {
  readonly kind: MessageKind.HeartbeatAck;
  readonly revision: number;
  readonly load?: LoadReport;
  readonly suspicions?: readonly CrashSuspicion[];
}

/** Asks for the configuration when the other side holds a higher revision. */
export interface ConfigurationRequestMessage {
  readonly kind: MessageKind.ConfigurationRequest;
  /** Revision that the asking side holds; 0 for none. */
  readonly heldRevision: number;
}

/** Carries a configuration. */
export interface ConfigurationValueMessage {
  readonly kind: MessageKind.ConfigurationValue;
  readonly configuration: Configuration;
}

/** Carries the changes from the revision that the other side holds. */
export interface ConfigurationChangeMessage {
  readonly kind: MessageKind.ConfigurationChange;
  readonly delta: ConfigurationDelta;
}

/** Asks a sidecar for an idempotency key. */
export interface MintKeyMessage {
  readonly kind: MessageKind.MintKey;
  readonly runId: string;
  readonly organisationId: string;
}

/** Hands out an idempotency key. */
export interface KeyMintedMessage {
  readonly kind: MessageKind.KeyMinted;
  readonly runId: string;
  readonly key: string;
}

/** Refuses to mint a key. */
export interface KeyRefusedMessage {
  readonly kind: MessageKind.KeyRefused;
  readonly runId: string;
  readonly problem: Problem;
}

/** Asks a sidecar to run a request on its target. */
export interface RunMessage {
  readonly kind: MessageKind.Run;
  /** Unique for each attempt. */
  readonly runId: string;
  readonly requestId: string;
  readonly organisationId: string;
  readonly request: TargetRequest;
  /** Present for non-idempotent calls. */
  readonly key?: string;
  /** Time left when the message was sent; clocks are not compared. */
  readonly timeLeftMs: number;
  /** Higher runs earlier. */
  readonly priority: number;
  readonly fingerprint: string;
  /** Crashes that the sender knows this request to have been part of. */
  readonly crashCount: number;
  /** Chunks already delivered to the caller. */
  readonly deliveredCount: number;
  /** How the engine goes on after those chunks. */
  readonly continuation: Continuation;
  /** Text already delivered, for engines that resume. */
  readonly deliveredText?: string;
}

/** Voids an idempotency key unless it already ran or runs. */
export interface TombstoneMessage {
  readonly kind: MessageKind.Tombstone;
  readonly runId: string;
  readonly organisationId: string;
  readonly key: string;
}

/** Ends a run that nobody waits for. */
export interface CancelMessage {
  readonly kind: MessageKind.Cancel;
  readonly runId: string;
}

/** Lets the sidecar send more chunks of a run. */
export interface CreditMessage {
  readonly kind: MessageKind.Credit;
  readonly runId: string;
  readonly chunkCount: number;
}

/** Status line and content type of the target's answer. */
export interface RunHeadMessage {
  readonly kind: MessageKind.RunHead;
  readonly runId: string;
  readonly status: number;
  readonly contentType: string;
}

/** One chunk of the target's answer. */
export interface RunChunkMessage {
  readonly kind: MessageKind.RunChunk;
  readonly runId: string;
  /** Position in the whole answer, from 0. */
  readonly sequence: number;
  readonly data: string;
}

/** Explicit end of the target's answer. */
export interface RunEndMessage {
  readonly kind: MessageKind.RunEnd;
  readonly runId: string;
  /** Number of chunks in the whole answer. */
  readonly chunkCount: number;
  readonly load?: LoadReport;
}

/** The run ended without a whole answer. */
export interface RunFailedMessage {
  readonly kind: MessageKind.RunFailed;
  readonly runId: string;
  readonly problem: Problem;
  readonly load?: LoadReport;
  readonly suspicions?: readonly CrashSuspicion[];
}

/** Asks a gate for its state; lower fencing numbers are refused from then on. */
export interface MapQueryMessage {
  readonly kind: MessageKind.MapQuery;
  readonly fence: number;
}

/** Answers a query. */
export interface MapStateMessage {
  readonly kind: MessageKind.MapState;
  readonly fence: number;
  readonly gate: GateState;
}

/** Asks a gate to have its rank load a map, and to hold the step until the decision. */
export interface MapPrepareMessage {
  readonly kind: MessageKind.MapPrepare;
  readonly fence: number;
  readonly change: MapChange;
}

/** The rank holds the map and its gate will hold the step. */
export interface MapPreparedMessage {
  readonly kind: MessageKind.MapPrepared;
  readonly fence: number;
}

/** Decides a change; absent means that no change takes place. */
export interface MapDecideMessage {
  readonly kind: MessageKind.MapDecide;
  readonly fence: number;
  readonly change?: MapChange;
}

/** The gate knows the decision. */
export interface MapDecidedMessage {
  readonly kind: MessageKind.MapDecided;
  readonly fence: number;
}

/** The gate follows a higher fencing number, or the step has begun. */
export interface MapRefusedMessage {
  readonly kind: MessageKind.MapRefused;
  readonly fence: number;
  readonly promisedFence: number;
}

/** Tokens that each expert took at one rank since the last report, by layer. */
export interface ExpertCountsMessage {
  readonly kind: MessageKind.ExpertCounts;
  readonly counts: readonly (readonly number[])[];
}

/** Any message between processes. */
export type Message =
  | HelloMessage
  | HeartbeatMessage
  | HeartbeatAckMessage
  | ConfigurationRequestMessage
  | ConfigurationValueMessage
  | ConfigurationChangeMessage
  | MintKeyMessage
  | KeyMintedMessage
  | KeyRefusedMessage
  | RunMessage
  | TombstoneMessage
  | CancelMessage
  | CreditMessage
  | RunHeadMessage
  | RunChunkMessage
  | RunEndMessage
  | RunFailedMessage
  | MapQueryMessage
  | MapStateMessage
  | MapPrepareMessage
  | MapPreparedMessage
  | MapDecideMessage
  | MapDecidedMessage
  | MapRefusedMessage
  | ExpertCountsMessage;
