/** @module State of one link: handshake, load reports and detection of silence. */
import type { HelloMessage, LoadReport, Peer } from '@ebonysill/core';
import {
  INBOUND_CHECK_INTERVAL_MS,
  INBOUND_SILENCE_LIMIT_MS,
  BUSY_CHECK_INTERVAL_MS,
  MIN_IDLE_CHECK_INTERVAL_MS,
  SILENCE_LIMIT_MS,
  SUSPECT_MS,
  idleCheckIntervalMs,
} from './link-timing.js';

/** State of a link. */
export enum LinkState {
  Opening = 'opening',
  /** Connected, but no hello has been received. */
  Handshaking = 'greeting',
  Up = 'up',
}

/** A check that runs later than this after its due time shows that this process was paused. */
const PROCESS_PAUSE_THRESHOLD_MS = 1_000;

/** One link to another process. */
export class Link {
  #state = LinkState.Opening;

  #hello: HelloMessage | undefined;

  #load: LoadReport | undefined;

  #loadReceivedAtMs: number;

  #lastReceivedAtMs: number;

  /** When the oldest message that is still unanswered was sent. */
  #unansweredSinceMs: number | undefined;

  #checkDueAtMs: number;

  #retainCount = 0;

  #idleCheckIntervalMs = MIN_IDLE_CHECK_INTERVAL_MS;

  #revision = 0;

  private constructor(
    readonly linkId: string,
    /** Process id of the sidecar that this process dialled; absent on inbound links. */
    readonly dialledId: string | undefined,
    nowMs: number,
  ) {
    this.#loadReceivedAtMs = nowMs;
    this.#lastReceivedAtMs = nowMs;
    this.#checkDueAtMs = nowMs;
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

  /** Id of the process at the other end, once its hello has been received. */
  get processId(): string | undefined {
    return this.#hello?.processId;
  }

  /** The process at the other end, once its hello has been received. */
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
      loadHeardMs: this.#loadReceivedAtMs,
    };
  }

  /** Highest configuration revision announced by the peer or to it. */
  get revision(): number {
    return this.#revision;
  }

  /** Records a revision that the peer announced, or that was announced to it. */
  recordRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Records that the connection is established; both ends send a hello next. */
  markOpened(): void {
    this.#state = LinkState.Handshaking;
  }

  /** Records the peer's hello, which completes the handshake. */
  acceptHello(hello: HelloMessage): void {
    this.#state = LinkState.Up;
    this.#hello = hello;
  }

  /** Records that a message was received, and its load report if it carries one. */
  recordReceived(nowMs: number, load: LoadReport | undefined): void {
    this.#lastReceivedAtMs = nowMs;
    this.#unansweredSinceMs = undefined;
    if (load !== undefined) {
      this.#load = load;
      this.#loadReceivedAtMs = nowMs;
    }
  }

  /**
   * Counts a piece of work in progress, requested by a message that now awaits an answer. Returns
   * whether the link was idle before.
   */
  retain(nowMs: number): boolean {
    const wasIdle = this.#isIdle;
    this.#retainCount += 1;
    this.#unansweredSinceMs ??= nowMs;
    return wasIdle;
  }

  /** Ends a piece of work that was counted with `retain`. */
  release(): void {
    this.#retainCount = Math.max(this.#retainCount - 1, 0);
  }

  /** Records when the next check is due; returns the delay until then. */
  planCheck(nowMs: number, linkCount: number): number {
    this.#idleCheckIntervalMs = idleCheckIntervalMs(linkCount);
    const delayMs = this.#checkIntervalMs;
    this.#checkDueAtMs = nowMs + delayMs;
    return delayMs;
  }

  /**
   * Whether the peer has been silent for too long. Called at each check: if the check runs so late
   * that this process must have been paused, the earlier silence is not counted.
   */
  isSilent(nowMs: number): boolean {
    if (nowMs - this.#checkDueAtMs > PROCESS_PAUSE_THRESHOLD_MS) {
      this.#lastReceivedAtMs = nowMs;
      this.#unansweredSinceMs = this.#unansweredSinceMs === undefined ? undefined : nowMs;
    }
    if (this.#state !== LinkState.Up) {
      return nowMs - this.#lastReceivedAtMs >= SILENCE_LIMIT_MS;
    }
    if (this.#unansweredSinceMs !== undefined) {
      return nowMs - this.#unansweredSinceMs >= SILENCE_LIMIT_MS;
    }
    return this.#isInbound && nowMs - this.#lastReceivedAtMs >= INBOUND_SILENCE_LIMIT_MS;
  }

  /** Whether a message has been unanswered for too long for the link to be given new work. */
  isSuspect(nowMs: number): boolean {
    return this.#unansweredSinceMs !== undefined && nowMs - this.#unansweredSinceMs > SUSPECT_MS;
  }

  /**
   * Whether to send a heartbeat, because nothing was received for half a check interval. If so,
   * counts the heartbeat as an unanswered message.
   */
  beginHeartbeatIfDue(nowMs: number): boolean {
    const isDue =
      this.#state === LinkState.Up &&
      !(this.#isInbound && this.#isIdle) &&
      nowMs - this.#lastReceivedAtMs >= this.#checkIntervalMs / 2;
    if (isDue) {
      this.#unansweredSinceMs ??= nowMs;
    }
    return isDue;
  }

  /** Whether the other end dialled; on an idle link, only that end sends heartbeats. */
  get #isInbound(): boolean {
    return this.dialledId === undefined;
  }

  get #checkIntervalMs(): number {
    if (!this.#isIdle) {
      return BUSY_CHECK_INTERVAL_MS;
    }
    return this.#isInbound ? INBOUND_CHECK_INTERVAL_MS : this.#idleCheckIntervalMs;
  }

  /** Whether the link is up, without work in progress and without an unanswered message. */
  get #isIdle(): boolean {
    return (
      this.#state === LinkState.Up &&
      this.#retainCount === 0 &&
      this.#unansweredSinceMs === undefined
    );
  }
}
