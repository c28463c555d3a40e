/** @module Bounds the connections that clients keep open at the listeners of a process. */
import { EvictionTier, decideEvictions, type DecideEvictions } from '@ebonysill/scheduling';
import type { Server, Socket } from 'node:net';
import { DropCause } from './ByteBudget.js';

/** Options of a limit. */
export interface ConnectionLimitOptions {
  readonly maxCount: number;
  /** Monotonic clock. */
  readonly nowMs?: () => number;
  readonly decide?: DecideEvictions;
  /** Called for each connection that is closed. */
  readonly onDropped?: (cause: DropCause) => void;
}

interface Connection {
  readonly id: number;
  readonly socket: Socket;
  /** Requests that are complete and whose answers are not. */
  busyCount: number;
  /** Whether a request was answered and nothing of a further one has come. */
  isIdle: boolean;
  /** Value of `socket.bytesRead` at the last check. */
  readBytes: number;
  progressAtMs: number;
}

/** Closes connections that make no progress when there are too many. */
export default class ConnectionLimit {
  readonly #connections = new Map<Socket, Connection>();

  readonly #options: Required<ConnectionLimitOptions>;

  #nextId = 1;

  private constructor({
    maxCount,
    nowMs = () => performance.now(),
    decide = decideEvictions,
    onDropped = () => undefined,
  }: ConnectionLimitOptions) {
    this.#options = { maxCount, nowMs, decide, onDropped };
  }

  /**
   * Creates a limit that watches no server yet; `check` has to be called regularly.
   *
   * @example
   * const limit = ConnectionLimit.create({ maxCount: 1_400 });
   * limit.watch(server);
   * setInterval(() => limit.check(), CHECK_INTERVAL_MS).unref();
   */
  static create(options: ConnectionLimitOptions): ConnectionLimit {
    return new ConnectionLimit(options);
  }

  /** Open connections. */
  get count(): number {
    return this.#connections.size;
  }

  /** Counts the connections that a server accepts from now on. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.#accept(socket));
  }

  /** Records that a request is complete, so that its connection is not closed before the answer. */
  recordRequest(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) {
      connection.busyCount += 1;
      connection.progressAtMs = this.#options.nowMs();
    }
  }

  /** Records that the answer to a complete request has ended. */
  recordAnswer(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) {
      connection.busyCount -= 1;
      connection.isIdle = connection.busyCount === 0;
      connection.readBytes = socket.bytesRead;
      connection.progressAtMs = this.#options.nowMs();
    }
  }

  /** Records which connections have received bytes. */
  check(): void {
    const nowMs = this.#options.nowMs();
    this.#connections.forEach((connection) => {
      const { bytesRead } = connection.socket;
      if (bytesRead > connection.readBytes) {
        Object.assign(connection, { readBytes: bytesRead, progressAtMs: nowMs, isIdle: false });
      }
    });
  }

  #accept(socket: Socket): void {
    const id = this.#nextId;
    this.#nextId += 1;
    this.#connections.set(socket, {
      id,
      socket,
      busyCount: 0,
      isIdle: false,
      readBytes: 0,
      progressAtMs: this.#options.nowMs(),
    });
    socket.once('close', () => this.#connections.delete(socket));
    if (this.#connections.size > this.#options.maxCount) {
      this.#evict(socket);
    }
  }

  /** Closes the new connection itself when all others have requests in progress. */
  #evict(newest: Socket): void {
    const { decide, maxCount, onDropped } = this.#options;
    this.check();
    const open = [...this.#connections.values()];
    const evictables = open
      .filter(({ busyCount }) => busyCount === 0)
      .map(({ id, isIdle, progressAtMs }) => ({
        id,
        tier: isIdle ? EvictionTier.Idle : EvictionTier.Unfinished,
        cost: 1,
        progressAtMs,
      }));
    const others = evictables.filter(({ id }) => id !== this.#connections.get(newest)?.id);
    const evicted = new Set(
      decide(others.length === 0 ? evictables : others, { used: open.length, max: maxCount }),
    );
    open
      .filter(({ id }) => evicted.has(id))
      .forEach(({ socket }) => {
        // Removed at once: the event of the close comes later, perhaps after further connections.
        this.#connections.delete(socket);
        socket.destroy();
        onDropped(DropCause.TooManyConnections);
      });
  }
}
