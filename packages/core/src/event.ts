/** @module Events: every input of a process, as data. */
import type { Configuration } from './configuration.js';
import type { ExpertMap } from './expert-map.js';
import type { Message } from './message.js';
import type TimerKind from './TimerKind.js';

/** Kind of an event. */
export enum EventKind {
  CallerRequest = 'caller-request',
  CallerFlushed = 'caller-flushed',
  CallerDisconnected = 'caller-gone',
  LinkOpened = 'link-opened',
  LinkMessage = 'link-message',
  LinkClosed = 'link-closed',
  Timer = 'timer',
  ConfigurationRead = 'configuration-read',
  ConfigurationUnavailable = 'configuration-unavailable',
  TargetHead = 'target-head',
  TargetChunk = 'target-chunk',
  TargetEnd = 'target-end',
  TargetError = 'target-error',
  TargetHealth = 'target-health',
  RankAsked = 'rank-asked',
  RankLoaded = 'rank-loaded',
}

/** What a caller asks for. */
export enum CallerIntent {
  /** Run a request on a target. */
  Run = 'run',
  /** Obtain an idempotency key. */
  MintKey = 'mint-key',
}

/** Whether a failed call may have reached the target. */
export enum TargetErrorStage {
  /** No byte of the request was written. */
  BeforeWrite = 'before-write',
  /** The target may have received the request. */
  AfterWrite = 'after-write',
}

/** A caller's request, decoded by the front end. */
export interface CallerRequestEvent {
  readonly kind: EventKind.CallerRequest;
  readonly exchangeId: string;
  readonly intent: CallerIntent;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  readonly credential: string;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  /** 0 (lowest) to 9 (highest). */
  readonly priority: number;
}

/** Further chunks of the answer were flushed to the caller's connection. */
export interface CallerFlushedEvent {
  readonly kind: EventKind.CallerFlushed;
  readonly exchangeId: string;
  /** Chunks flushed since the previous event of the exchange. */
  readonly chunkCount: number;
}

/** The caller disconnected before the end of the answer. */
export interface CallerDisconnectedEvent {
  readonly kind: EventKind.CallerDisconnected;
  readonly exchangeId: string;
}

/** The connection of a link was established; no message has been exchanged yet. */
export interface LinkOpenedEvent {
  readonly kind: EventKind.LinkOpened;
  readonly linkId: string;
  readonly isInbound: boolean;
}

/** A message arrived on a link. */
export interface LinkMessageEvent {
  readonly kind: EventKind.LinkMessage;
  readonly linkId: string;
  readonly message: Message;
}

/** A link closed, or could not be opened. */
export interface LinkClosedEvent {
  readonly kind: EventKind.LinkClosed;
  readonly linkId: string;
}

/** A timer expired. */
export interface TimerEvent {
  readonly kind: EventKind.Timer;
  readonly timer: TimerKind;
  /** Identifies the timer among those of its kind. */
  readonly key: string;
}

/** The configuration service answered a read. */
export interface ConfigurationReadEvent {
  readonly kind: EventKind.ConfigurationRead;
  readonly configuration: Configuration;
}

/** The configuration service did not answer, or its value failed validation. */
export interface ConfigurationUnavailableEvent {
  readonly kind: EventKind.ConfigurationUnavailable;
  readonly detail: string;
}

/** The target answered with a status line. */
export interface TargetHeadEvent {
  readonly kind: EventKind.TargetHead;
  readonly callId: string;
  readonly status: number;
  readonly contentType: string;
}

/** One chunk of a target's answer. */
export interface TargetChunkEvent {
  readonly kind: EventKind.TargetChunk;
  readonly callId: string;
  readonly data: string;
}

/** The target's answer is complete. */
export interface TargetEndEvent {
  readonly kind: EventKind.TargetEnd;
  readonly callId: string;
}

/** The call to the target failed before the answer ended. */
export interface TargetErrorEvent {
  readonly kind: EventKind.TargetError;
  readonly callId: string;
  readonly stage: TargetErrorStage;
  readonly detail: string;
}

/** The target's own health report, which may lag behind its actual state. */
export interface TargetHealthEvent {
  readonly kind: EventKind.TargetHealth;
  readonly isUp: boolean;
  readonly isCold: boolean;
}

/** A rank reports its position: at the barrier before a step, or within a step. */
export interface RankAskedEvent {
  readonly kind: EventKind.RankAsked;
  /** The step that it asks to begin, or the one that it is executing. */
  readonly step: number;
  /** Whether it waits for permission; false if it only reports to a restarted sidecar. */
  readonly isWaiting: boolean;
  /** Map of the last step that the rank began. */
  readonly current: ExpertMap;
  /** Tokens that each expert processed at this rank since the previous report, by layer. */
  readonly counts: readonly (readonly number[])[];
}

/** A rank has loaded the weights of a map. */
export interface RankLoadedEvent {
  readonly kind: EventKind.RankLoaded;
  readonly mapId: number;
}

/** Any input of a process. */
export type Event =
  | CallerRequestEvent
  | CallerFlushedEvent
  | CallerDisconnectedEvent
  | LinkOpenedEvent
  | LinkMessageEvent
  | LinkClosedEvent
  | TimerEvent
  | ConfigurationReadEvent
  | ConfigurationUnavailableEvent
  | TargetHeadEvent
  | TargetChunkEvent
  | TargetEndEvent
  | TargetErrorEvent
  | TargetHealthEvent
  | RankAskedEvent
  | RankLoadedEvent;
