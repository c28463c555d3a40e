/** @module State of one link. */
import type { HelloMessage, LoadReport, Peer } from '@ebonysill/core';
import {
  ACCEPTED_CHECK_MS,
  ACCEPTED_SILENCE_LIMIT_MS,
  BUSY_CHECK_MS,
  IDLE_CHECK_MS,
  SILENCE_LIMIT_MS,
  SUSPECT_MS,
  idleCheckMs,
} from './link-timing.js';

/** How far a link has come. */
export enum LinkState {
  Opening = 'opening',
  Greeting = 'greeting',
  Up = 'up',
}

/** A check that comes this late shows that this process itself was paused. */
const OWN_PAUSE_MS = 1_000;

/** Follows one link. */
export class Link {
  #state = LinkState.Opening;

  #hello: HelloMessage | undefined;

  #load: LoadReport | undefined;

  #loadHeardMs: number;

  #lastHeardMs: number;

  /** When the first message was sent that has had no answer. */
  #unansweredMs: number | undefined;

  #checkDueMs: number;

  #retainCount = 0;

  #idleCheckMs = IDLE_CHECK_MS;

  #revision = 0;

  private constructor(
    readonly linkId: string,
    /** The sidecar that this process dialled; absent on inbound links. */
    readonly dialledId: string | undefined,
    nowMs: number,
  ) {
    this.#loadHeardMs = nowMs;
    this.#lastHeardMs = nowMs;
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
      loadHeardMs: this.#loadHeardMs,
    };
  }

  /** Highest configuration revision that the other end is known to hold. */
  get revision(): number {
    return this.#revision;
  }

  /** The other end told, or was told, a revision. */
  noteRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** The connection is there; hellos come next. */
  open(): void {
    this.#state = LinkState.Greeting;
  }

  /** The other end said hello. */
  greet(hello: HelloMessage): void {
    this.#state = LinkState.Up;
    this.#hello = hello;
  }

  /** A message arrived, perhaps with a load report. */
  hear(nowMs: number, load: LoadReport | undefined): void {
    this.#lastHeardMs = nowMs;
    this.#unansweredMs = undefined;
    if (load !== undefined) {
      this.#load = load;
      this.#loadHeardMs = nowMs;
    }
  }

  /** Counts one more piece of work; returns whether the link was idle before. */
  retain(nowMs: number): boolean {
    const wasIdle = this.#isIdle;
    this.#retainCount += 1;
    this.#unansweredMs ??= nowMs;
    return wasIdle;
  }

  /** Counts one piece of work less. */
  release(): void {
    this.#retainCount = Math.max(this.#retainCount - 1, 0);
  }

  /** Notes that a check is due; returns the delay until then. */
  planCheck(nowMs: number, linkCount: number): number {
    this.#idleCheckMs = idleCheckMs(linkCount);
    const delayMs = this.#checkIntervalMs;
    this.#checkDueMs = nowMs + delayMs;
    return delayMs;
  }

  /** Whether the other end has been silent for too long; a pause of this process does not count. */
  isSilent(nowMs: number): boolean {
    if (nowMs - this.#checkDueMs > OWN_PAUSE_MS) {
      this.#lastHeardMs = nowMs;
      this.#unansweredMs = this.#unansweredMs === undefined ? undefined : nowMs;
    }
    if (this.#state !== LinkState.Up) {
      return nowMs - this.#lastHeardMs >= SILENCE_LIMIT_MS;
    }
    if (this.#unansweredMs !== undefined) {
      return nowMs - this.#unansweredMs >= SILENCE_LIMIT_MS;
    }
    return this.#isAccepted && nowMs - this.#lastHeardMs >= ACCEPTED_SILENCE_LIMIT_MS;
  }

  /** Whether a message has been unanswered for so long that the link should take no new work. */
  isSuspect(nowMs: number): boolean {
    return this.#unansweredMs !== undefined && nowMs - this.#unansweredMs > SUSPECT_MS;
  }

  /** Whether a heartbeat is wanted, because nothing else was heard lately; notes that it is sent. */
  takeHeartbeat(nowMs: number): boolean {
    const isWanted =
      this.#state === LinkState.Up &&
      !(this.#isAccepted && this.#isIdle) &&
      nowMs - this.#lastHeardMs >= this.#checkIntervalMs / 2;
    if (isWanted) {
      this.#unansweredMs ??= nowMs;
    }
    return isWanted;
  }

  /** On an idle link the end that dialled does the asking; the other end only answers. */
  get #isAccepted(): boolean {
    return this.dialledId === undefined;
  }

  get #checkIntervalMs(): number {
    if (!this.#isIdle) {
      return BUSY_CHECK_MS;
    }
    return this.#isAccepted ? ACCEPTED_CHECK_MS : this.#idleCheckMs;
  }

  /** Up, without work, and with nothing unanswered. */
  get #isIdle(): boolean {
    return (
      this.#state === LinkState.Up && this.#retainCount === 0 && this.#unansweredMs === undefined
    );
  }
}
