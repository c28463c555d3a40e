/** @module Kinds of faults and of requests in the fault matrix. */
import { Step } from '@ebonysill/emulator';

/** A fault that can be injected at a step of a request. */
export enum FaultKind {
  CrashEntry = 'crash-entry',
  RestartEntry = 'restart-entry',
  CrashSidecar = 'crash-sidecar',
  RestartSidecar = 'restart-sidecar',
  CrashTarget = 'crash-target',
  /** Sidecar and target stop, and both are started again. */
  ReplaceHost = 'replace-host',
  PauseEntry = 'pause-entry',
  PauseSidecar = 'pause-sidecar',
  PauseSidecarPastDeadline = 'pause-sidecar-past-deadline',
  /** For a while, nothing from the entry process reaches the sidecar. */
  PartitionToSidecar = 'partition-to-sidecar',
  /** For a while, nothing from the sidecar reaches the entry process. */
  PartitionToEntry = 'partition-to-entry',
  PartitionBoth = 'partition-both',
  MessageLost = 'message-lost',
  MessageDuplicated = 'message-doubled',
  MessageReordered = 'message-reordered',
  MessageLate = 'message-late',
  /** The present links between the two deliver nothing more to the sidecar, but stay open. */
  SilentToSidecar = 'silent-to-sidecar',
  /** The present links between the two deliver nothing more to the entry process, but stay open. */
  SilentToEntry = 'silent-to-entry',
  ConfigurationDown = 'configuration-down',
  /** The zone of the sidecar is taken out, but the service still serves the old revision. */
  ConfigurationStale = 'configuration-stale',
  /** The zone of the sidecar is taken out of service and put back. */
  ZoneOut = 'zone-out',
  /**
   * Two revisions in a row: the first takes out the zone of the sidecar, the next only that of the
   * entry process.
   */
  TwoOperators = 'two-operators',
  DrainEntry = 'drain-entry',
  DrainSidecar = 'drain-sidecar',
  TargetTurnsCold = 'target-turns-cold',
}

/** A kind of request, with the behaviour of the targets that serve it. */
export enum RequestKind {
  /** Idempotent stream that another engine can resume. */
  ResumedStream = 'resumed-stream',
  /** Idempotent stream that a deterministic engine can repeat from the start. */
  RestartedStream = 'restarted-stream',
  /** Idempotent stream that cannot be continued. */
  PlainStream = 'plain-stream',
  /** Non-idempotent call; targets do not check for duplicate keys. */
  KeyedCall = 'keyed-call',
  /** Non-idempotent call, sent through two entry processes at once. */
  RacedCall = 'raced-call',
  /** Non-idempotent call that waits at the target before it runs. */
  HeldCall = 'held-call',
  /** Non-idempotent call; targets refuse to run a key twice. */
  CheckedCall = 'checked-call',
}

/** Faults of a single message, which apply only to steps that send one. */
export const MESSAGE_FAULTS: readonly FaultKind[] = [
  FaultKind.MessageLost,
  FaultKind.MessageDuplicated,
  FaultKind.MessageReordered,
  FaultKind.MessageLate,
];

/** Steps that send no message between processes. */
export const LOCAL_STEPS: readonly Step[] = [
  Step.TargetCalled,
  Step.TargetRan,
  Step.AnswerBegun,
  Step.AnswerEnded,
];

const STREAM_STEPS: readonly Step[] = [
  Step.RunSent,
  Step.TargetCalled,
  Step.TargetRan,
  Step.HeadSent,
  Step.AnswerBegun,
  Step.ChunkSent,
  Step.EndSent,
  Step.AnswerEnded,
];

/** Steps that each kind of request takes when nothing fails. */
export const STEPS_OF: Readonly<Record<RequestKind, readonly Step[]>> = {
  [RequestKind.ResumedStream]: STREAM_STEPS,
  [RequestKind.RestartedStream]: STREAM_STEPS,
  [RequestKind.PlainStream]: STREAM_STEPS,
  [RequestKind.KeyedCall]: [Step.MintKeySent, Step.KeyMinted, ...STREAM_STEPS],
  [RequestKind.RacedCall]: [Step.MintKeySent, Step.KeyMinted, ...STREAM_STEPS],
  [RequestKind.HeldCall]: [Step.MintKeySent, Step.KeyMinted, ...STREAM_STEPS],
  [RequestKind.CheckedCall]: [Step.MintKeySent, Step.KeyMinted, ...STREAM_STEPS],
};

/** Whether requests of a kind carry a key. */
export const isKeyed = (kind: RequestKind): boolean => STEPS_OF[kind].includes(Step.MintKeySent);
