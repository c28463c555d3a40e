/** @module Complete requests of each connection, and connections that cannot be read any further. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Answers to errors of the parser by their code; other errors are malformed requests. */
const STATUS_LINE_OF: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};

const BAD_REQUEST_LINE = '400 Bad Request';

/** Tracks complete requests whose answers have not ended. */
export default class RunningRequests {
  /** By connection: the responses to complete requests, in the order of the requests. */
  readonly #running = new WeakMap<Socket, Set<ServerResponse>>();

  /** Connections whose further bytes cannot be read as requests. */
  readonly #brokenSockets = new WeakSet<Socket>();

  private constructor() {}

  /**
   * Creates a record without requests.
   *
   * @example
   * const running = RunningRequests.create();
   * running.add(request.socket, response);
   */
  static create(): RunningRequests {
    return new RunningRequests();
  }

  /** Records a complete request; the last answer of a broken connection closes it. */
  add(socket: Socket, response: ServerResponse): void {
    const running = this.#running.get(socket) ?? new Set();
    this.#running.set(socket, running.add(response));
    response.on('close', () => {
      running.delete(response);
      if (running.size === 0 && this.#brokenSockets.has(socket)) {
        socket.destroySoon();
      }
    });
  }

  /** Whether the connection ends with the answers that are still due. */
  isBroken(socket: Socket): boolean {
    return this.#brokenSockets.has(socket);
  }

  /**
   * Answers what cannot be read as a request. While an earlier request of the connection runs, its
   * answer comes first and ends the connection.
   */
  refuseUnreadable(
    { code = '' }: NodeJS.ErrnoException,
    socket: Socket,
    isAnswered: boolean,
  ): void {
    const last = [...(this.#running.get(socket) ?? [])].at(-1);
    if (last !== undefined && !socket.destroyed) {
      this.#brokenSockets.add(socket);
      last.shouldKeepAlive = false;
      return;
    }
    if (socket.writable && !isAnswered) {
      const statusLine = STATUS_LINE_OF[code] ?? BAD_REQUEST_LINE;
      socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroy();
  }
}
