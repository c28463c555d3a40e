/** @module Outputs of a process, as data that the input and output layer carries out. */
import type { HeaderField, TargetCall } from './exchange-data.js';
import type { PeerMessage } from './peer-message.js';
import type { CallerLimits } from './published.js';
import type { Order, RankExperts } from './rank-data.js';
import type { StoreReadKind } from './event.js';
import type TimerKind from './TimerKind.js';

/** Kind of an effect. */
export enum EffectKind {
  StartCall = 'start-call',
  CancelCall = 'cancel-call',
  PauseCall = 'pause-call',
  ResumeCall = 'resume-call',
  CheckTarget = 'check-target',
  SendAnswer = 'answer-whole',
  BeginAnswer = 'begin-answer',
  ContinueAnswer = 'continue-answer',
  EndAnswer = 'end-answer',
  AbortAnswer = 'abort-answer',
  DropStalledAnswers = 'drop-stalled-answers',
  ReadStore = 'read-store',
  SetTimer = 'set-timer',
  ClearTimer = 'clear-timer',
  SendToPeer = 'send-to-peer',
  CloseIdleCallers = 'close-idle-callers',
  StopAccepting = 'stop-accepting',
  ApplyLimits = 'apply-limits',
  QueryRank = 'ask-rank',
  CountExperts = 'count-experts',
  SendOrder = 'give-order',
  Log = 'log',
  Stop = 'stop',
}

/** Sends a request to a target on a connection of its own. */
export interface StartCallEffect {
  readonly kind: EffectKind.StartCall;
  readonly callId: number;
  readonly call: TargetCall;
}

/** Closes the connection of a call. */
export interface CancelCallEffect {
  readonly kind: EffectKind.CancelCall;
  readonly callId: number;
}

/** Reads no further block of the answer to a call. */
export interface PauseCallEffect {
  readonly kind: EffectKind.PauseCall;
  readonly callId: number;
}

/** Reads the answer to a call on. */
export interface ResumeCallEffect {
  readonly kind: EffectKind.ResumeCall;
  readonly callId: number;
}

/** Opens a connection to a target and closes it, to see whether the target still listens. */
export interface CheckTargetEffect {
  readonly kind: EffectKind.CheckTarget;
  readonly instanceId: string;
  /** IP address and port. */
  readonly address: string;
}

/** Sends a complete answer of known length. */
export interface SendAnswerEffect {
  readonly kind: EffectKind.SendAnswer;
  readonly exchangeId: number;
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: readonly Uint8Array[];
  /** Delay after which the caller may retry; only for a request that did not run. */
  readonly retryAfterMs?: number;
}

/** Begins an answer of unknown length. */
export interface BeginAnswerEffect {
  readonly kind: EffectKind.BeginAnswer;
  readonly exchangeId: number;
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** Sends the next bytes of an answer. */
export interface ContinueAnswerEffect {
  readonly kind: EffectKind.ContinueAnswer;
  readonly exchangeId: number;
  readonly data: Uint8Array;
}

/** Ends an answer as complete. */
export interface EndAnswerEffect {
  readonly kind: EffectKind.EndAnswer;
  readonly exchangeId: number;
}

/** Closes the caller's connection, so that the caller does not treat the answer as complete. */
export interface AbortAnswerEffect {
  readonly kind: EffectKind.AbortAnswer;
  readonly exchangeId: number;
}

/** Disconnects the callers that have taken no byte of their answers for a time. */
export interface DropStalledAnswersEffect {
  readonly kind: EffectKind.DropStalledAnswers;
  readonly minStallMs: number;
}

/** Reads one page of the store, or waits for changes. */
export interface ReadStoreEffect {
  readonly kind: EffectKind.ReadStore;
  readonly read: StoreReadKind;
  /** Key after which the page begins. */
  readonly afterKey?: string;
  /** Revision after which changes are requested; 0 for a page. */
  readonly afterRevision: number;
  /** How long the store may wait for a change before it answers; 0 for a page. */
  readonly waitMs: number;
}

/** Starts a timer, replacing one of the same kind and key. */
export interface SetTimerEffect {
  readonly kind: EffectKind.SetTimer;
  readonly timer: TimerKind;
  readonly key: number;
  readonly delayMs: number;
}

/** Stops a timer. */
export interface ClearTimerEffect {
  readonly kind: EffectKind.ClearTimer;
  readonly timer: TimerKind;
  readonly key: number;
}

/** Sends a message to another process of the system. */
export interface SendToPeerEffect {
  readonly kind: EffectKind.SendToPeer;
  /** IP address and port. */
  readonly address: string;
  readonly message: PeerMessage;
}

/** Closes callers' connections on which no request is in progress. */
export interface CloseIdleCallersEffect {
  readonly kind: EffectKind.CloseIdleCallers;
}

/** Refuses new connections of callers; open ones stay. */
export interface StopAcceptingEffect {
  readonly kind: EffectKind.StopAccepting;
}

/** Applies new limits on callers' requests and connections. */
export interface ApplyLimitsEffect {
  readonly kind: EffectKind.ApplyLimits;
  readonly limits: CallerLimits;
}

/** Asks an engine for its state. */
export interface QueryRankEffect {
  readonly kind: EffectKind.QueryRank;
  /** IP address and port of another engine than the one beside this process. */
  readonly engineAddress?: string;
}

/** Asks the engine beside this process for its counts of experts. */
export interface CountExpertsEffect {
  readonly kind: EffectKind.CountExperts;
  /** The experts that the rank holds; absent when the engine must report them too. */
  readonly known?: RankExperts;
}

/** Sends an order to an engine. */
export interface SendOrderEffect {
  readonly kind: EffectKind.SendOrder;
  readonly orderId: number;
  /** IP address and port of another engine than the one beside this process. */
  readonly engineAddress?: string;
  readonly order: Order;
}

/** Severity of a log line. */
export enum LogLevel {
  Info = 'info',
  Warn = 'warn',
}

/** Topic of a log line. */
export enum LogTopic {
  Started = 'process started',
  Draining = 'drain started',
  Stopped = 'process stopped',
  SettingsChanged = 'settings changed',
  ConfigurationApplied = 'configuration applied',
  ZoneOut = 'availability zone taken out',
  ZoneBack = 'availability zone back',
  TargetAdded = 'target added',
  TargetChanged = 'target changed',
  TargetRemoved = 'target removed',
  TargetLimited = 'target limit changed',
  TargetLeaving = 'target leaves',
  TargetPaused = 'target paused',
  NoticeInvalid = 'target notice invalid',
  ItemUnreadable = 'store item unreadable',
  FieldUnreadable = 'configuration field unreadable',
  StoreLost = 'store lost',
  StoreRegained = 'store regained',
  StoreRestored = 'store restored',
  PeersAsked = 'peers asked for their state',
  ConfigurationBehind = 'configuration behind peers',
  ConfigurationLevel = 'configuration level with peers',
  MemberJoined = 'member joined',
  MemberLost = 'member lost',
  RequestEnded = 'request ended',
  CallFailed = 'call failed',
  ExchangeFailed = 'exchange failed',
  CrashSuspected = 'crash suspected',
  SuspicionCleared = 'suspicion cleared',
  MapChangeStarted = 'map change started',
  MapChangeEnded = 'map change ended',
  OrderAnswered = 'order answered',
  CallersDropped = 'callers dropped',
}

/** Fields of a log line. */
export interface LogFields {
  readonly requestId?: string;
  readonly route?: string;
  readonly service?: string;
  readonly organisation?: string;
  readonly instanceId?: string;
  readonly memberName?: string;
  readonly zone?: string;
  readonly status?: number;
  readonly outcome?: string;
  readonly reason?: string;
  readonly attempt?: number;
  readonly progress?: string;
  /** Prompt segments that other requests may share, separated by commas. */
  readonly promptSegments?: string;
  readonly durationMs?: number;
  readonly firstEventMs?: number;
  readonly longestPauseMs?: number;
  readonly version?: number;
  /** How often the store was restored from a copy. */
  readonly era?: number;
  /** Time since the store last confirmed this process's copy of it. */
  readonly knowledgeAgeMs?: number;
  readonly runningCount?: number;
  /** How a request that waited left the queue. */
  readonly waitOutcome?: string;
  readonly waitedMs?: number;
  readonly aheadCount?: number;
  readonly waitingCount?: number;
  readonly endsPerSecond?: number;
  /** Age of the oldest report of another gateway that a decision used. */
  readonly reportAgeMs?: number;
  /** Delay that a refused caller was told. */
  readonly retryAfterMs?: number;
  /** Whom the cause of a refusal concerns: this gateway or the fleet. */
  readonly scope?: string;
  /** Requests that a target takes in each second; absent when it names no limit. */
  readonly maxRequestsPerSecond?: number;
  readonly passMs?: number;
  readonly epoch?: number;
  readonly step?: number;
  readonly skew?: number;
  readonly count?: number;
  /** Item of the configuration and its field, by published names. */
  readonly item?: string;
  readonly field?: string;
  readonly detail?: string;
}

/** Writes one log line. */
export interface LogEffect {
  readonly kind: EffectKind.Log;
  readonly level: LogLevel;
  readonly topic: LogTopic;
  readonly fields: LogFields;
}

/** Stops the process; at the end of the grace period exchanges may still be in progress. */
export interface StopEffect {
  readonly kind: EffectKind.Stop;
}

/** Any output of a process. */
export type Effect =
  | StartCallEffect
  | CancelCallEffect
  | PauseCallEffect
  | ResumeCallEffect
  | CheckTargetEffect
  | SendAnswerEffect
  | BeginAnswerEffect
  | ContinueAnswerEffect
  | EndAnswerEffect
  | AbortAnswerEffect
  | DropStalledAnswersEffect
  | ReadStoreEffect
  | SetTimerEffect
  | ClearTimerEffect
  | SendToPeerEffect
  | CloseIdleCallersEffect
  | StopAcceptingEffect
  | ApplyLimitsEffect
  | QueryRankEffect
  | CountExpertsEffect
  | SendOrderEffect
  | LogEffect
  | StopEffect;
