/**
 * @module Reads the connections of HTTP servers in slices, so that no caller keeps others waiting.
 *
 * Load pattern: many connections each send a body in chunks of one byte. The parser takes some 25 ms for a
 * block of 64 KiB of them and cannot stop within it, so that an ordinary request behind hundreds of such
 * blocks waits for seconds.
 */
import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { DropCause } from './ByteBudget.js';
import createCountedMessage from './createCountedMessage.js';
import GarbageMeter from './GarbageMeter.js';
import UnreadBytes, { type UnreadConnection } from './UnreadBytes.js';

/** Options of a reader. */
export interface RequestReaderOptions {
  /** Heads and chunks of bodies that are read in one turn of the event loop. */
  readonly maxReadCount?: number;
  /** Calls a function in the next turn of the event loop. */
  readonly atNextTurn?: (fn: () => void) => void;
  readonly garbage?: GarbageMeter;
  /** Bytes of all connections that may wait to be read. */
  readonly maxUnreadBytes?: number;
  /** Called for each connection that is closed because too many bytes wait. */
  readonly onDropped?: (cause: DropCause) => void;
}

/** Bytes that are read first of what a connection brings: most heads are shorter. */
const FIRST_SLICE_BYTES = 1_024;

const MAX_SLICE_BYTES = 65_536;

/** Growth of the next slice of a block after one without small chunks; the first of the next block shrinks. */
const SLICE_FACTOR = 8;

/** Bytes that are read at once of small chunks. */
const SMALL_SLICE_BYTES = 4_096;

/** Mean size of chunks below which a connection waits behind the others. */
const MIN_CHUNK_BYTES = 64;

/** About 5 ms of parsing; counted, not timed, so that a process without processor time loses no callers. */
const MAX_READ_COUNT = 2_048;

/** Small chunks of a turn while connections arrive: the system accepts one in a turn. */
const MAX_ARRIVAL_READ_COUNT = 256;

/** Connections with small chunks that are read; further ones are closed. */
const MAX_FRAGMENTED_COUNT = 16;

const DEFAULT_MAX_UNREAD_BYTES = 16_777_216;

interface Connection extends UnreadConnection {
  readonly socket: Socket;
  sliceBytes: number;
  /** Whether its last slice consisted of small chunks. */
  isFragmented: boolean;
  /** Whether the HTTP server reads no further, for instance as long as its answers are not taken. */
  isPaused: boolean;
  /** Whether bytes or the end of the connection wait to be read. */
  hasNews: boolean;
}

/** Reads from the connections of the servers of a process in turns. */
export default class RequestReader {
  /** Connections with bytes, in the order in which they are read. */
  readonly #ready = new Set<Connection>();

  /** The same for those whose chunks are small: the others go first. */
  readonly #fragmented = new Set<Connection>();

  readonly #maxReadCount: number;

  readonly #atNextTurn: (fn: () => void) => void;

  readonly #garbage: GarbageMeter;

  readonly #unread: UnreadBytes;

  /** Whether a connection was accepted since the last turn; only one is in a turn. */
  #hasAccepted = false;

  #readCount = 0;

  #isScheduled = false;

  private constructor(private readonly options: RequestReaderOptions) {
    const { maxUnreadBytes = DEFAULT_MAX_UNREAD_BYTES } = options;
    this.#maxReadCount = options.maxReadCount ?? MAX_READ_COUNT;
    this.#atNextTurn = options.atNextTurn ?? setImmediate;
    this.#garbage = options.garbage ?? GarbageMeter.create();
    this.#unread = UnreadBytes.create(maxUnreadBytes);
  }

  /**
   * Creates a reader that watches no server yet.
   *
   * @example
   * const reader = RequestReader.create();
   * const server = createServer({ IncomingMessage: reader.createMessageClass() }, receive);
   * reader.watch(server);
   */
  static create(options: RequestReaderOptions = {}): RequestReader {
    return new RequestReader(options);
  }

  /** Creates the class of the requests of a server, which count what is read. */
  createMessageClass(): typeof IncomingMessage {
    return createCountedMessage(() => {
      this.#readCount += 1;
    });
  }

  /** Reads the connections that a server accepts from now on. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.#hasAccepted = true;
      this.#begin(socket);
    });
  }

  #isOver(): boolean {
    return this.#readCount >= this.#maxReadCount;
  }

  #begin(socket: Socket): void {
    const connection: Connection = {
      socket,
      sliceBytes: FIRST_SLICE_BYTES,
      isFragmented: false,
      isPaused: false,
      hasNews: false,
      pendingBytes: () => socket.readableLength,
      drop: () => {
        socket.destroy();
        this.options.onDropped?.(DropCause.Unread);
      },
    };
    // The server pauses and resumes its connections; while slices are read, a flag stands for that.
    Object.assign(socket, {
      pause: () => {
        connection.isPaused = true;
        return socket;
      },
      resume: () => {
        connection.isPaused = false;
        if (connection.hasNews) {
          this.#enqueue(connection);
        }
        return socket;
      },
    });
    socket.on('readable', () => this.#onReadable(connection));
    socket.once('close', () => {
      this.#ready.delete(connection);
      this.#fragmented.delete(connection);
      this.#unread.remove(connection);
    });
  }

  /** Reads at once if that keeps no other connection waiting. */
  #onReadable(connection: Connection): void {
    Object.assign(connection, { hasNews: true });
    this.#unread.recordReceived(connection);
    const isFirst = this.#ready.size === 0 && !connection.isFragmented;
    if (isFirst && !this.#isOver()) {
      this.#readSlice(connection);
    } else {
      this.#enqueue(connection);
    }
    if (this.#unread.hasUncertain) {
      this.#schedule();
    }
  }

  #enqueue(connection: Connection): void {
    (connection.isFragmented ? this.#fragmented : this.#ready).add(connection);
    this.#schedule();
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      this.#atNextTurn(() => this.#runTurn());
    }
  }

  #runTurn(): void {
    this.#isScheduled = false;
    this.#readCount = 0;
    this.#unread.endTurn();
    while (!this.#isOver() && this.#readNext(this.#ready));
    // At least one of these in each turn, so that they go on beside any load.
    const maxReadCount = this.#hasAccepted ? MAX_ARRIVAL_READ_COUNT : this.#maxReadCount;
    this.#hasAccepted = false;
    while (this.#readNext(this.#fragmented) && this.#readCount < maxReadCount);
    const isLeft = this.#ready.size + this.#fragmented.size > 0;
    if (isLeft || this.#unread.hasUncertain) {
      this.#schedule();
    }
  }

  /** Reads a slice of the first connection of a queue; returns false if there is none. */
  #readNext(queue: Set<Connection>): boolean {
    const [connection] = queue;
    if (connection === undefined) {
      return false;
    }
    queue.delete(connection);
    this.#readSlice(connection);
    return true;
  }

  /** Reads a slice, unless the server reads no further or has ended the connection. */
  #readSlice(connection: Connection): void {
    const { socket, sliceBytes, isPaused } = connection;
    if (isPaused || socket.destroyed || socket.writableEnded) {
      return;
    }
    const sizeBytes = Math.min(sliceBytes, socket.readableLength);
    const countBefore = this.#readCount;
    // Emits the slice as `data`, which the server parses at once. Only a read of all emits the end.
    socket.read(sizeBytes < socket.readableLength ? sizeBytes : undefined);
    // The parser copies bodies.
    this.#garbage.recordBlock(2 * sizeBytes);
    const chunkCount = this.#readCount - countBefore;
    const isFragmented = chunkCount > MIN_CHUNK_BYTES && chunkCount * MIN_CHUNK_BYTES > sizeBytes;
    const hasNews = socket.readableLength > 0;
    const nextBytes = hasNews ? sliceBytes * SLICE_FACTOR : sliceBytes / SLICE_FACTOR;
    Object.assign(connection, {
      hasNews,
      isFragmented,
      sliceBytes: isFragmented
        ? SMALL_SLICE_BYTES
        : Math.min(MAX_SLICE_BYTES, Math.max(FIRST_SLICE_BYTES, nextBytes)),
    });
    this.#unread.recordParsed(connection);
    if (!hasNews) {
      return;
    }
    if (isFragmented && this.#fragmented.size >= MAX_FRAGMENTED_COUNT) {
      connection.drop();
    } else if (isFragmented || this.#isOver()) {
      this.#enqueue(connection);
    } else {
      // At once, since a block that is kept for the next turn outlives the collection of new objects.
      this.#readSlice(connection);
    }
  }
}
