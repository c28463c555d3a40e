/** @module Messages between the processes of the system, independent of their encoding. */
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

/** Load of one target, measured at its sidecar. */
export interface LoadReport {
  readonly targetId: string;
  readonly state: TargetState;
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Requests that the sidecar currently allows to run concurrently. */
  readonly limit: number;
}

/** A request that was in progress when one or more targets crashed. */
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
  /** Random identifier, new at each start of the process. */
  readonly incarnation: string;
  readonly role: ProcessRole;
  readonly availabilityZone: string;
  readonly revision: number;
}

/** Asks for an acknowledgement; carries the sender's revision, load and crash suspicions. */
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

/** Asks a peer that announced a higher revision for its configuration. */
export interface ConfigurationRequestMessage {
  readonly kind: MessageKind.ConfigurationRequest;
  /** Revision that the sender holds; 0 for none. */
  readonly heldRevision: number;
}

/** Carries a complete configuration. */
export interface ConfigurationValueMessage {
  readonly kind: MessageKind.ConfigurationValue;
  readonly configuration: Configuration;
}

/** Carries the changes since the revision that the receiver holds. */
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

/** Returns a new idempotency key. */
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
  /** Time to the deadline when the message was sent; clocks of processes are not compared. */
  readonly timeLeftMs: number;
  /** Requests with a higher priority run first. */
  readonly priority: number;
  readonly fingerprint: string;
  /** Number of crashes, known to the sender, with this request in progress. */
  readonly crashCount: number;
  /** Number of chunks already delivered to the caller. */
  readonly deliveredCount: number;
  /** How the engine continues after those chunks. */
  readonly continuation: Continuation;
  /** Text already delivered, for engines that resume after it. */
  readonly deliveredText?: string;
}

/** Voids an idempotency key and ends its call if queued; a call that has started continues. */
export interface TombstoneMessage {
  readonly kind: MessageKind.Tombstone;
  readonly runId: string;
  readonly organisationId: string;
  readonly key: string;
}

/** Unsubscribes from a run. Without subscribers it ends, unless it is a keyed call in progress. */
export interface CancelMessage {
  readonly kind: MessageKind.Cancel;
  readonly runId: string;
}

/** Flow control: allows the sidecar to send more chunks of a run. */
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
  /** Position of the chunk in the complete answer, from 0. */
  readonly sequence: number;
  readonly data: string;
}

/** Explicit end of the target's answer; without it, the answer was truncated. */
export interface RunEndMessage {
  readonly kind: MessageKind.RunEnd;
  readonly runId: string;
  /** Number of chunks in the complete answer. */
  readonly chunkCount: number;
  readonly load?: LoadReport;
}

/** The run ended without a complete answer. */
export interface RunFailedMessage {
  readonly kind: MessageKind.RunFailed;
  readonly runId: string;
  readonly problem: Problem;
  readonly load?: LoadReport;
  readonly suspicions?: readonly CrashSuspicion[];
}

/** Asks a gate for its state; from then on the gate refuses lower fencing numbers. */
export interface MapQueryMessage {
  readonly kind: MessageKind.MapQuery;
  readonly fence: number;
}

/** Answers a query with the gate's state. */
export interface MapStateMessage {
  readonly kind: MessageKind.MapState;
  readonly fence: number;
  readonly gate: GateState;
}

/** Asks a gate to make its rank load a map, and to hold the step until the decision. */
export interface MapPrepareMessage {
  readonly kind: MessageKind.MapPrepare;
  readonly fence: number;
  readonly change: MapChange;
}

/** The rank has loaded the map, and its gate will hold the step until the decision. */
export interface MapPreparedMessage {
  readonly kind: MessageKind.MapPrepared;
  readonly fence: number;
}

/** Commits `change`; if it is absent, no change takes place. */
export interface MapDecideMessage {
  readonly kind: MessageKind.MapDecide;
  readonly fence: number;
  readonly change?: MapChange;
}

/** Confirms that the gate has applied the decision. */
export interface MapDecidedMessage {
  readonly kind: MessageKind.MapDecided;
  readonly fence: number;
}

/** Refuses a driver's request: the gate promised another fencing number, or the step has begun. */
export interface MapRefusedMessage {
  readonly kind: MessageKind.MapRefused;
  readonly fence: number;
  readonly promisedFence: number;
}

/** Tokens that each expert processed at one rank since the last report, by layer. */
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
