/** @module State of one link. */
import type { HelloMessage, LoadReport, Peer } from '@ebonysill/core';
import {
  INBOUND_CHECK_INTERVAL_MS,
  INBOUND_SILENCE_LIMIT_MS,
  BUSY_CHECK_INTERVAL_MS,
  MIN_IDLE_CHECK_INTERVAL_MS,
  SILENCE_LIMIT_MS,
  SUSPECT_AFTER_MS,
  idleCheckIntervalMs,
} from './link-timing.js';

/** How far a link has come. */
export enum LinkState {
  Opening = 'opening',
  Handshaking = 'greeting',
  Up = 'up',
}

/** A check that comes this late shows that this process itself was paused. */
const PROCESS_PAUSE_THRESHOLD_MS = 1_000;

/** Follows one link. */
export class Link {
  #state = LinkState.Opening;

  #hello: HelloMessage | undefined;

  #load: LoadReport | undefined;

  #loadReceivedMs: number;

  #lastReceivedMs: number;

  /** When the first message was sent that has had no answer. */
  #unansweredSinceMs: number | undefined;

  #checkDueMs: number;

  #retainCount = 0;

  #idleCheckIntervalMs = MIN_IDLE_CHECK_INTERVAL_MS;

  #revision = 0;

  private constructor(
    readonly linkId: string,
    /** The sidecar that this process dialled; absent on inbound links. */
    readonly dialledId: string | undefined,
    nowMs: number,
  ) {
    this.#loadReceivedMs = nowMs;
    this.#lastReceivedMs = nowMs;
    this.#checkDueMs = nowMs;
  }

  /**
   * Creates a link that is being opened.
   *
   * @example
   * const link = Link.create('entry-1>bookings-1#1', 'bookings-1', nowMs);
   */
  static create(linkId: string, dialledId: string | undefined, nowMs: number): Link {
    return new Link(linkId, dialledId, nowMs);
  }

  /** Process at the other end, once it has said hello. */
  get processId(): string | undefined {
    return this.#hello?.processId;
  }

  /** The other end as a peer, once it has said hello. */
  get peer(): Peer | undefined {
    if (this.#hello === undefined) {
      return undefined;
    }
    const { processId, incarnation, availabilityZone } = this.#hello;
    const { linkId } = this;
    const load = this.#load;
    return {
      linkId,
      processId,
      incarnation,
      availabilityZone,
      load,
      loadHeardMs: this.#loadReceivedMs,
    };
  }

  /** Highest configuration revision that the other end is known to hold. */
  get revision(): number {
    return this.#revision;
  }

  /** The other end told, or was told, a revision. */
  recordRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** The connection is there; hellos come next. */
  markOpened(): void {
    this.#state = LinkState.Handshaking;
  }

  /** The other end said hello. */
  acceptHello(hello: HelloMessage): void {
    this.#state = LinkState.Up;
    this.#hello = hello;
  }

  /** A message arrived, perhaps with a load report. */
  recordReceived(nowMs: number, load: LoadReport | undefined): void {
    this.#lastReceivedMs = nowMs;
    this.#unansweredSinceMs = undefined;
    if (load !== undefined) {
      this.#load = load;
      this.#loadReceivedMs = nowMs;
    }
  }

  /** Counts one more piece of work; returns whether the link was idle before. */
  retain(nowMs: number): boolean {
    const wasIdle = this.#isIdle;
    this.#retainCount += 1;
    this.#unansweredSinceMs ??= nowMs;
    return wasIdle;
  }

  /** Counts one piece of work less. */
  release(): void {
    this.#retainCount = Math.max(this.#retainCount - 1, 0);
  }

  /** Notes that a check is due; returns the delay until then. */
  planCheck(nowMs: number, linkCount: number): number {
    this.#idleCheckIntervalMs = idleCheckIntervalMs(linkCount);
    const delayMs = this.#checkIntervalMs;
    this.#checkDueMs = nowMs + delayMs;
    return delayMs;
  }

  /** Whether the other end has been silent for too long; a pause of this process does not count. */
  isSilent(nowMs: number): boolean {
    if (nowMs - this.#checkDueMs > PROCESS_PAUSE_THRESHOLD_MS) {
      this.#lastReceivedMs = nowMs;
      this.#unansweredSinceMs = this.#unansweredSinceMs === undefined ? undefined : nowMs;
    }
    if (this.#state !== LinkState.Up) {
      return nowMs - this.#lastReceivedMs >= SILENCE_LIMIT_MS;
    }
    if (this.#unansweredSinceMs !== undefined) {
      return nowMs - this.#unansweredSinceMs >= SILENCE_LIMIT_MS;
    }
    return this.#isInbound && nowMs - this.#lastReceivedMs >= INBOUND_SILENCE_LIMIT_MS;
  }

  /** Whether a message has been unanswered for so long that the link should take no new work. */
  isSuspect(nowMs: number): boolean {
    return (
      this.#unansweredSinceMs !== undefined && nowMs - this.#unansweredSinceMs > SUSPECT_AFTER_MS
    );
  }

  /** Whether a heartbeat is wanted, because nothing else was heard lately; notes that it is sent. */
  beginHeartbeatIfDue(nowMs: number): boolean {
    const isDue =
      this.#state === LinkState.Up &&
      !(this.#isInbound && this.#isIdle) &&
      nowMs - this.#lastReceivedMs >= this.#checkIntervalMs / 2;
    if (isDue) {
      this.#unansweredSinceMs ??= nowMs;
    }
    return isDue;
  }

  /** On an idle link the end that dialled does the asking; the other end only answers. */
  get #isInbound(): boolean {
    return this.dialledId === undefined;
  }

  get #checkIntervalMs(): number {
    if (!this.#isIdle) {
      return BUSY_CHECK_INTERVAL_MS;
    }
    return this.#isInbound ? INBOUND_CHECK_INTERVAL_MS : this.#idleCheckIntervalMs;
  }

  /** Up, without work, and with nothing unanswered. */
  get #isIdle(): boolean {
    return (
      this.#state === LinkState.Up &&
      this.#retainCount === 0 &&
      this.#unansweredSinceMs === undefined
    );
  }
}
