/**
 * @module Bounds what one turn of the event loop reads from peers and from servers that are called.
 *
 * Callers are read by `RequestReader`, with a bound of its own: neither can keep the other from being read.
 *
 * Load pattern: many open connections each send a block of very small chunks at once. The parser takes
 * some 25 ms for a block of 64 KiB and cannot stop within it, and a turn reads every connection that has
 * bytes, some of them several times. Without a bound a turn takes seconds, and answers of the store and
 * timers wait for its end.
 */
import type { Socket } from 'node:net';

/** Options of read turns. */
export interface ReadTurnsOptions {
  /** Heads and chunks of bodies after which a turn reads no further connection. */
  readonly maxReadCount?: number;
  /** Calls a function in the next turn of the event loop, after the reads of this one. */
  readonly onTurnEnd?: (fn: () => void) => void;
}

/**
 * About 10 ms of parsing. Heads and chunks are counted, not timed, so that a process that waits for
 * the processor pauses no sound callers.
 */
const MAX_READ_COUNT = 4_096;

/** Connections that are read again in one turn; a turn takes the rest of them later. */
const MAX_RESUMED_COUNT = 64;

/** Pauses connections when a turn has read enough, and resumes them in order. */
export default class ReadTurns {
  /** Open connections, the least recently read first. */
  readonly #sockets = new Set<Socket>();

  /** Connections that wait to be read again, in the order in which they are resumed. */
  readonly #waiting = new Set<Socket>();

  readonly #options: Required<ReadTurnsOptions>;

  #lastRead: Socket | undefined;

  /** Heads and chunks that this turn has read. */
  #readCount = 0;

  #isEndScheduled = false;

  private constructor({
    maxReadCount = MAX_READ_COUNT,
    onTurnEnd = (fn) => {
      setImmediate(fn);
    },
  }: ReadTurnsOptions) {
    this.#options = { maxReadCount, onTurnEnd };
  }

  /**
   * Creates turns that watch no connection yet.
   *
   * @example
   * const turns = ReadTurns.create();
   * turns.watchSocket(socket);
   * socket.on('data', () => turns.recordRead(socket));
   */
  static create(options: ReadTurnsOptions = {}): ReadTurns {
    return new ReadTurns(options);
  }

  /** Watches one connection, whose reads are recorded by the one who reads it. */
  watchSocket(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#waiting.delete(socket);
    });
  }

  /** Records heads and chunks that were read from a connection. */
  recordRead(socket: Socket, readCount = 1): void {
    if (socket !== this.#lastRead && this.#sockets.delete(socket)) {
      this.#sockets.add(socket);
      this.#lastRead = socket;
    }
    const wasOver = this.#readCount >= this.#options.maxReadCount;
    this.#readCount += readCount;
    this.#scheduleEnd();
    if (!wasOver && this.#readCount >= this.#options.maxReadCount) {
      this.#sockets.forEach((open) => this.#pause(open));
    }
  }

  /** Leaves alone what is paused for another reason. */
  #pause(socket: Socket): void {
    if (!socket.isPaused()) {
      this.#waiting.add(socket);
      socket.pause();
    }
  }

  #scheduleEnd(): void {
    if (!this.#isEndScheduled) {
      this.#isEndScheduled = true;
      this.#options.onTurnEnd(() => this.#onTurnEnd());
    }
  }

  #onTurnEnd(): void {
    this.#readCount = 0;
    this.#isEndScheduled = false;
    [...this.#waiting].slice(0, MAX_RESUMED_COUNT).forEach((socket) => {
      this.#waiting.delete(socket);
      socket.resume();
    });
    if (this.#waiting.size > 0) {
      this.#scheduleEnd();
    }
  }
}
