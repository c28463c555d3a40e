/** @module Open connections of callers, and which of them may be closed without cutting an answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** A caller that takes no byte of its answer for this long is disconnected. */
const MAX_WRITE_STALL_MS = 10_000;

interface Connection {
  /** Requests whose answer the connection has not taken completely. */
  openCount: number;
  /** Bytes received when the last request was complete; more belong to the next one. */
  readBytes: number;
}

/**
 * Tracks connections from their first byte to their last. Node counts a connection as idle once its
 * answer was handed over, although the connection may not have taken it yet.
 */
export default class CallerConnections {
  readonly #connections = new Map<Socket, Connection>();

  #onFlushed: (() => void)[] = [];

  private constructor() {}

  /**
   * Creates a record without connections.
   *
   * @example
   * const connections = CallerConnections.create();
   * server.on('connection', (socket) => connections.add(socket));
   */
  static create(): CallerConnections {
    return new CallerConnections();
  }

  add(socket: Socket): void {
    this.#connections.set(socket, { openCount: 0, readBytes: 0 });
    socket.on('close', () => this.#connections.delete(socket));
  }

  /** Records that the head of a request was received; its connection is in use from now on. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.openCount += 1;
    request.on('end', () => {
      connection.readBytes = socket.bytesRead;
    });
    response.on('close', () => {
      connection.openCount -= 1;
      this.#checkFlushed();
    });
    response.on('prefinish', () => CallerConnections.#limitWriteStall(socket, response));
  }

  /** Closes the connections on which no request has begun since the last answer was taken. */
  closeIdle(): void {
    [...this.#connections]
      .filter(
        ([socket, { openCount, readBytes }]) => openCount === 0 && socket.bytesRead <= readBytes,
      )
      .forEach(([socket]) => socket.destroy());
  }

  /** Resolves when no request is in progress and every answer was taken. */
  flush(): Promise<void> {
    return new Promise((resolve) => {
      this.#onFlushed.push(resolve);
      this.#checkFlushed();
    });
  }

  #checkFlushed(): void {
    if (this.#onFlushed.length === 0) {
      return;
    }
    if ([...this.#connections.values()].every(({ openCount }) => openCount === 0)) {
      this.#onFlushed.forEach((resolve) => resolve());
      this.#onFlushed = [];
    }
  }

  /** Ends the wait for a caller that stops reading; each byte that it takes starts the time anew. */
  static #limitWriteStall(socket: Socket, response: ServerResponse): void {
    const disconnect = (): void => {
      socket.destroy();
    };
    socket.setTimeout(MAX_WRITE_STALL_MS, disconnect);
    response.on('close', () => socket.off('timeout', disconnect));
  }
}
