/** @module Inputs of a process, as data. */
import type { CallStage, CallerRequest, TargetHead } from './exchange-data.js';
import type { PeerMessage } from './peer-message.js';
import type { PublishedConfiguration, PublishedTarget } from './published.js';
import type TimerKind from './TimerKind.js';
import type { OrderOutcome, RankReport, RankCounts } from './rank-data.js';

/** Kind of an event. */
export enum EventKind {
  RequestReceived = 'request-received',
  CallerDisconnected = 'caller-gone',
  CallersDisconnected = 'callers-gone',
  AnswerTaken = 'answer-taken',
  CallerBehind = 'caller-behind',
  CallerCaughtUp = 'caller-caught-up',
  TargetHeadReceived = 'target-head-received',
  TargetDataReceived = 'target-data-received',
  TargetAnswerEnded = 'target-answer-ended',
  TargetCallFailed = 'target-call-failed',
  TargetChecked = 'target-checked',
  StoreRead = 'store-read',
  StoreFailed = 'store-failed',
  TimerFired = 'timer-fired',
  SeedsChanged = 'seeds-changed',
  PeerMessageReceived = 'peer-message-received',
  RankReported = 'rank-reported',
  ExpertsCounted = 'experts-counted',
  OrderAnswered = 'order-answered',
}

/** A caller's request was received completely. */
export interface RequestReceivedEvent {
  readonly kind: EventKind.RequestReceived;
  /** Identifies the exchange within this process. */
  readonly exchangeId: number;
  readonly request: CallerRequest;
}

/** The caller closed its connection before the answer ended. */
export interface CallerDisconnectedEvent {
  readonly kind: EventKind.CallerDisconnected;
  readonly exchangeId: number;
}

/** The connection of a caller has taken a large answer, or has closed before. */
export interface AnswerTakenEvent {
  readonly kind: EventKind.AnswerTaken;
  readonly exchangeId: number;
}

/** Bytes of a stream wait for a caller that takes them more slowly than they come. */
export interface CallerBehindEvent {
  readonly kind: EventKind.CallerBehind;
  readonly exchangeId: number;
}

/** The caller has taken what waited. */
export interface CallerCaughtUpEvent {
  readonly kind: EventKind.CallerCaughtUp;
  readonly exchangeId: number;
}

/** The listener is closed, and all connections of callers have ended. */
export interface CallersDisconnectedEvent {
  readonly kind: EventKind.CallersDisconnected;
}

/** The status line and header fields of a target's answer were received. */
export interface TargetHeadEvent {
  readonly kind: EventKind.TargetHeadReceived;
  readonly callId: number;
  readonly head: TargetHead;
}

/** Bytes of the body of a target's answer were received. */
export interface TargetDataEvent {
  readonly kind: EventKind.TargetDataReceived;
  readonly callId: number;
  readonly data: Uint8Array;
}

/** A target's answer is complete according to its framing. */
export interface TargetEndEvent {
  readonly kind: EventKind.TargetAnswerEnded;
  readonly callId: number;
}

/** A call ended without a complete answer. */
export interface TargetCallFailedEvent {
  readonly kind: EventKind.TargetCallFailed;
  readonly callId: number;
  readonly stage: CallStage;
  /** Short explanation for the log. */
  readonly detail: string;
}

/** Whether a target accepts connections. */
export enum TargetReachability {
  Listening = 'listening',
  /** The host answers, but no process listens. */
  Refusing = 'refusing',
  /** Nothing answers. */
  Silent = 'silent',
}

/** A check of a target ended. */
export interface TargetCheckedEvent {
  readonly kind: EventKind.TargetChecked;
  readonly instanceId: string;
  readonly reachability: TargetReachability;
}

/** Type of an item in the store, or its removal. */
export enum ItemKind {
  Configuration = 'configuration',
  ZoneOut = 'zone-out',
  Target = 'target',
  /** An item that could not be decoded; it is not used. */
  Unreadable = 'unreadable',
  Removed = 'removed',
}

/** Which part of the store an item belongs to. */
export enum ItemScope {
  Configuration = 'configuration',
  Zone = 'zone',
  Target = 'target',
}

/** An item of the store that was read or changed. */
export type StoreItem =
  | {
      readonly kind: ItemKind.Configuration;
      readonly scope: ItemScope.Configuration;
      readonly configuration: PublishedConfiguration;
    }
  | { readonly kind: ItemKind.ZoneOut; readonly scope: ItemScope.Zone; readonly zone: string }
  | {
      readonly kind: ItemKind.Target;
      readonly scope: ItemScope.Target;
      readonly target: PublishedTarget;
    }
  | {
      readonly kind: ItemKind.Unreadable | ItemKind.Removed;
      readonly scope: ItemScope;
      /** Zone name, instance identifier, or empty for the configuration. */
      readonly id: string;
      /** Why the item could not be decoded. */
      readonly detail?: string;
    };

/** Kind of a read request to the store. */
export enum StoreReadKind {
  /** One page of all items. */
  Page = 'page',
  /** Changes since a revision. */
  Watch = 'watch',
}

/** The store answered. */
export interface StoreReadEvent {
  readonly kind: EventKind.StoreRead;
  readonly read: StoreReadKind;
  readonly items: readonly StoreItem[];
  /** Revision of the store that the answer reflects. */
  readonly revision: number;
  /** How often the store was restored from a copy; absent when it does not say. */
  readonly era?: number;
  /** Key after which the next page begins; absent on the last page. */
  readonly nextAfterKey?: string;
}

/** Why a read of the store failed. */
export enum StoreFailure {
  /** The store no longer has the requested changes, so all items must be read again. */
  HistoryExpired = 'history-gone',
  /** The store asked this process to retry later. */
  Refused = 'refused',
  /** No answer, a reset connection, or an answer that cannot be decoded. */
  Unreachable = 'unreachable',
}

/** A read of the store failed. */
export interface StoreFailedEvent {
  readonly kind: EventKind.StoreFailed;
  readonly read: StoreReadKind;
  readonly failure: StoreFailure;
  /** As in {@link StoreReadEvent}; absent also without an answer. */
  readonly era?: number;
  readonly detail: string;
}

/** A timer fired. */
export interface TimerFiredEvent {
  readonly kind: EventKind.TimerFired;
  readonly timer: TimerKind;
  readonly key: number;
}

/** The seed addresses in the settings changed. */
export interface SeedsChangedEvent {
  readonly kind: EventKind.SeedsChanged;
  /** IP addresses and ports. */
  readonly seeds: readonly string[];
}

/** Another process of the system sent a message. */
export interface PeerMessageEvent {
  readonly kind: EventKind.PeerMessageReceived;
  /** IP address and port that the message came from. */
  readonly address: string;
  readonly message: PeerMessage;
}

/** An engine reported its state, or did not answer. */
export interface RankReportedEvent {
  readonly kind: EventKind.RankReported;
  /** IP address and port of the engine; absent for the engine beside this process. */
  readonly engineAddress?: string;
  /** Absent when the engine did not answer. */
  readonly report?: RankReport;
}

/** The engine beside this process reported how often each expert was chosen, or did not answer. */
export interface ExpertsCountedEvent {
  readonly kind: EventKind.ExpertsCounted;
  /** Absent when the engine did not answer. */
  readonly rankCounts?: RankCounts;
}

/** The engine answered an order, or its outcome is unknown. */
export interface OrderAnsweredEvent {
  readonly kind: EventKind.OrderAnswered;
  readonly orderId: number;
  readonly outcome: OrderOutcome;
}

/** Any input of a process. */
export type Event =
  | RequestReceivedEvent
  | CallerDisconnectedEvent
  | CallersDisconnectedEvent
  | AnswerTakenEvent
  | CallerBehindEvent
  | CallerCaughtUpEvent
  | TargetHeadEvent
  | TargetDataEvent
  | TargetEndEvent
  | TargetCallFailedEvent
  | TargetCheckedEvent
  | StoreReadEvent
  | StoreFailedEvent
  | TimerFiredEvent
  | SeedsChangedEvent
  | PeerMessageEvent
  | RankReportedEvent
  | ExpertsCountedEvent
  | OrderAnsweredEvent;
