/** @module One run of a request on the target, and those who wait for its answer. */
import { Continuation, type RunHeadMessage, type RunMessage } from '@ebonysill/core';

/** How far a run has come. */
export enum RunState {
  /** In the queue; nothing was written to the target. */
  Waiting = 'waiting',
  /** Handed to the target. */
  Running = 'running',
  /** The call failed; the target's health decides what that means. */
  AwaitingHealth = 'awaiting-health',
  /** The whole answer is here; parts of it may not have been sent on. */
  Answered = 'answered',
}

/** Someone who waits for the answer of a run. */
export interface Subscriber {
  readonly linkId: string;
  readonly runId: string;
  /** Next chunk to send, as a position in the whole answer. */
  nextSequence: number;
  /** Chunks that may be sent before more credit comes. */
  credit: number;
  isHeadSent: boolean;
}

/** A run and its answer so far. */
export interface Run {
  readonly callId: string;
  readonly message: RunMessage;
  /** Record in the key ledger; undefined for idempotent requests. */
  readonly recordId: number | undefined;
  readonly startedMs: number;
  state: RunState;
  subscribers: readonly Subscriber[];
  head: Pick<RunHeadMessage, 'status' | 'contentType'> | undefined;
  /** Chunks held: all of them while the answer is recorded, otherwise those not yet sent. */
  chunks: string[];
  /** Position of the first held chunk in the whole answer. */
  firstSequence: number;
  heldBytes: number;
  isRecorded: boolean;
  isPaused: boolean;
}

/** Chunks that a subscriber may receive before it grants more credit. */
export const INITIAL_CREDIT = 64;

/** Bytes of one answer that are recorded for a later re-ask. */
export const MAX_RECORDED_BYTES = 65_536;

/**
 * Creates the subscriber that a message asks for.
 *
 * @example
 * run.subscribers = [createSubscriber(linkId, message)];
 */
export const createSubscriber = (linkId: string, message: RunMessage): Subscriber => ({
  linkId,
  runId: message.runId,
  nextSequence: message.deliveredCount,
  credit: INITIAL_CREDIT,
  isHeadSent: false,
});

/** What a run is created from. */
export interface RunOptions {
  readonly callId: string;
  readonly linkId: string;
  readonly message: RunMessage;
  readonly recordId: number | undefined;
  readonly nowMs: number;
}

/**
 * Creates a run that waits.
 *
 * @example
 * createRun({ callId, linkId, message, recordId: undefined, nowMs });
 */
export const createRun = ({ callId, linkId, message, recordId, nowMs }: RunOptions): Run => ({
  callId,
  message,
  recordId,
  startedMs: nowMs,
  state: RunState.Waiting,
  subscribers: [createSubscriber(linkId, message)],
  head: undefined,
  chunks: [],
  firstSequence: message.continuation === Continuation.Resume ? message.deliveredCount : 0,
  heldBytes: 0,
  isRecorded: recordId !== undefined,
  isPaused: false,
});

/**
 * Number of chunks of the answer known so far.
 *
 * @example
 * knownCount(run); // 12
 */
export const knownCount = (run: Run): number => run.firstSequence + run.chunks.length;
