/** @module Effects: every output of a process, as data. */
import type { ExpertMap } from './expert-map.js';
import type { Message, TargetRequest } from './message.js';
import type { Outcome, Problem, Reason } from './outcome.js';
import type TimerKind from './TimerKind.js';

/** Kind of an effect. */
export enum EffectKind {
  AnswerHead = 'answer-head',
  AnswerChunk = 'answer-chunk',
  AnswerEnd = 'answer-end',
  AnswerKey = 'answer-key',
  AnswerProblem = 'answer-problem',
  OpenLink = 'open-link',
  CloseLink = 'close-link',
  Send = 'send',
  SetTimer = 'set-timer',
  ClearTimer = 'clear-timer',
  ReadConfiguration = 'read-configuration',
  CallTarget = 'call-target',
  AbortTarget = 'abort-target',
  PauseTarget = 'pause-target',
  ResumeTarget = 'resume-target',
  ReadTargetHealth = 'read-target-health',
  AnswerRank = 'answer-rank',
  LoadMap = 'load-map',
  Log = 'log',
}

/** Severity of a log line. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
}

/** What a log line is about. */
export enum LogTopic {
  RequestAccepted = 'request accepted',
  RequestEnded = 'request ended',
  AttemptStarted = 'attempt started',
  AttemptFailed = 'attempt failed',
  RunStarted = 'run started',
  RunEnded = 'run ended',
  LinkUp = 'link up',
  LinkLost = 'link lost',
  ConfigurationAccepted = 'configuration accepted',
  ConfigurationUnavailable = 'configuration unavailable',
  TargetStateChanged = 'target state changed',
  MapChangeStarted = 'map change started',
  MapChangeEnded = 'map change ended',
}

/** Fields that a log line may carry; never content of requests, keys or credentials. */
export interface LogFields {
  readonly requestId?: string;
  readonly runId?: string;
  readonly organisationId?: string;
  readonly service?: string;
  readonly targetId?: string;
  readonly outcome?: Outcome;
  readonly reason?: Reason;
  readonly revision?: number;
  readonly linkId?: string;
  readonly peerId?: string;
  readonly durationMs?: number;
  readonly chunkCount?: number;
  readonly detail?: string;
}

/** Begins the answer to a caller. */
export interface AnswerHeadEffect {
  readonly kind: EffectKind.AnswerHead;
  readonly exchangeId: string;
  readonly requestId: string;
  readonly status: number;
  readonly contentType: string;
}

/** Sends one chunk to a caller. */
export interface AnswerChunkEffect {
  readonly kind: EffectKind.AnswerChunk;
  readonly exchangeId: string;
  readonly data: string;
}

/** Ends the answer to a caller as complete. */
export interface AnswerEndEffect {
  readonly kind: EffectKind.AnswerEnd;
  readonly exchangeId: string;
}

/** Answers a caller with a new idempotency key. */
export interface AnswerKeyEffect {
  readonly kind: EffectKind.AnswerKey;
  readonly exchangeId: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
}

/** Answers a caller with a problem; an answer that has begun is cut off so that this is visible. */
export interface AnswerProblemEffect {
  readonly kind: EffectKind.AnswerProblem;
  readonly exchangeId: string;
  readonly requestId: string;
  readonly problem: Problem;
}

/** Opens a link to another process. */
export interface OpenLinkEffect {
  readonly kind: EffectKind.OpenLink;
  readonly linkId: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
}

/** Closes a link. */
export interface CloseLinkEffect {
  readonly kind: EffectKind.CloseLink;
  readonly linkId: string;
}

/** Sends a message on a link. */
export interface SendEffect {
  readonly kind: EffectKind.Send;
  readonly linkId: string;
  readonly message: Message;
}

/** Starts a timer, replacing one of the same kind and key. */
export interface SetTimerEffect {
  readonly kind: EffectKind.SetTimer;
  readonly timer: TimerKind;
  readonly key: string;
  readonly delayMs: number;
}

/** Stops a timer. */
export interface ClearTimerEffect {
  readonly kind: EffectKind.ClearTimer;
  readonly timer: TimerKind;
  readonly key: string;
}

/** Long-polls the configuration service for a revision above the given one. */
export interface ReadConfigurationEffect {
  readonly kind: EffectKind.ReadConfiguration;
  readonly aboveRevision: number;
}

/** Sends a request to the target, without retries. */
export interface CallTargetEffect {
  readonly kind: EffectKind.CallTarget;
  readonly callId: string;
  readonly requestId: string;
  readonly request: TargetRequest;
  /** Forwarded for targets that check for duplicates. */
  readonly idempotencyKey?: string;
  readonly deliveredCount: number;
  readonly deliveredText?: string;
}

/** Cancels a call to the target. */
export interface AbortTargetEffect {
  readonly kind: EffectKind.AbortTarget;
  readonly callId: string;
}

/** Stops reading a target's answer until it is resumed, as back-pressure. */
export interface PauseTargetEffect {
  readonly kind: EffectKind.PauseTarget;
  readonly callId: string;
}

/** Resumes reading a target's answer. */
export interface ResumeTargetEffect {
  readonly kind: EffectKind.ResumeTarget;
  readonly callId: string;
}

/** Reads the target's health. */
export interface ReadTargetHealthEffect {
  readonly kind: EffectKind.ReadTargetHealth;
}

/** Allows a rank to begin the step that it asked about, and says on which map. */
export interface AnswerRankEffect {
  readonly kind: EffectKind.AnswerRank;
  readonly step: number;
  readonly map: ExpertMap;
}

/** Makes a rank load the weights of a map in addition to those in use. */
export interface LoadMapEffect {
  readonly kind: EffectKind.LoadMap;
  readonly map: ExpertMap;
}

/** Writes a log line. */
export interface LogEffect {
  readonly kind: EffectKind.Log;
  readonly level: LogLevel;
  readonly topic: LogTopic;
  readonly fields: LogFields;
}

/** Any output of a process. */
export type Effect =
  | AnswerHeadEffect
  | AnswerChunkEffect
  | AnswerEndEffect
  | AnswerKeyEffect
  | AnswerProblemEffect
  | OpenLinkEffect
  | CloseLinkEffect
  | SendEffect
  | SetTimerEffect
  | ClearTimerEffect
  | ReadConfigurationEffect
  | CallTargetEffect
  | AbortTargetEffect
  | PauseTargetEffect
  | ResumeTargetEffect
  | ReadTargetHealthEffect
  | AnswerRankEffect
  | LoadMapEffect
  | LogEffect;
