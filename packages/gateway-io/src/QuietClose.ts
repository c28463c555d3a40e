/**
 * @module Closes a listener without losing requests of callers that repeat at once.
 *
 * Load pattern: callers send their next request as soon as they have an answer, on a new connection if
 * they were asked to close the last one. The system resets connections that wait to be accepted when the
 * listener closes.
 */
import type { Server } from 'node:http';

/** Time within which the listener closes, however many connections arrive. */
const MAX_CLOSE_DELAY_MS = 350;

/** Connections hardly arrive within a turn of the event loop that is shorter. */
const MAX_QUIET_TURN_MS = 0.3;

/** Closes the listener of one server, and holds the requests that are received meanwhile. */
export default class QuietClose {
  #acceptedCount = 0;

  /** Requests received while the listener closes; undefined at other times. */
  #heldRequests: (() => void)[] | undefined;

  private constructor(private readonly server: Server) {
    server.on('connection', () => {
      this.#acceptedCount += 1;
    });
  }

  /**
   * Creates a close that has not begun; it counts the connections that the server accepts from now on.
   *
   * @example
   * const quietClose = QuietClose.create(server);
   * quietClose.begin(() => post({ kind: EventKind.CallersDisconnected }));
   */
  static create(server: Server): QuietClose {
    return new QuietClose(server);
  }

  /** Begins to close the listener; calls `onDisconnected` when the last connection has ended. */
  begin(onDisconnected: () => void): void {
    this.#heldRequests = [];
    this.#closeAfterQuietTurn(performance.now() + MAX_CLOSE_DELAY_MS, onDisconnected);
  }

  /** Accepts a request at once, or when the listener is closed if that has begun. */
  acceptOrHold(accept: () => void): void {
    if (this.#heldRequests === undefined) {
      accept();
    } else {
      this.#heldRequests.push(accept);
    }
  }

  /**
   * Closes the listener at the end of a short turn of the event loop in which no connection arrived:
   * those that wait to be accepted when it closes are reset.
   */
  #closeAfterQuietTurn(latestAtMs: number, onDisconnected: () => void): void {
    const acceptedCount = this.#acceptedCount;
    const startedAtMs = performance.now();
    setImmediate(() => {
      const nowMs = performance.now();
      const isQuiet =
        this.#acceptedCount === acceptedCount && nowMs - startedAtMs < MAX_QUIET_TURN_MS;
      if (isQuiet || nowMs > latestAtMs) {
        this.server.close(onDisconnected);
        this.#releaseHeld();
      } else {
        this.#closeAfterQuietTurn(latestAtMs, onDisconnected);
      }
    });
  }

  #releaseHeld(): void {
    const held = this.#heldRequests ?? [];
    this.#heldRequests = undefined;
    held.forEach((accept) => accept());
  }
}
