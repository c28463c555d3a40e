/**
 * @module Hands new connections to an HTTP server one in each turn of the event loop.
 *
 * Load pattern: many connections open at once and each sends a block of very small chunks. The parser
 * takes some 25 ms for a block of 64 KiB, so that the event loop would stand still for seconds, and
 * everything that depends on the time, such as the copy of the store, would become too old.
 */
import type { Server, Socket } from 'node:net';

/** Listener of an HTTP server for new connections. */
type Accept = (this: Server, socket: Socket) => void;

/**
 * Calls the listeners for connections that the server has so far only when it is a socket's turn;
 * until then the socket is paused. Listeners that are added later are called when it is accepted.
 *
 * @example
 * const server = createServer(receive);
 * spreadConnections(server);
 */
const spreadConnections = (server: Server): void => {
  const accepts = server.listeners('connection') as Accept[];
  const waiting: Socket[] = [];
  const acceptNext = (): void => {
    const socket = waiting.shift();
    if (socket !== undefined && !socket.destroyed) {
      accepts.forEach((accept) => accept.call(server, socket));
      socket.resume();
    }
    if (waiting.length > 0) {
      setImmediate(acceptNext);
    }
  };
  server.removeAllListeners('connection');
  Object.assign(server, { pauseOnConnect: true });
  server.on('connection', (socket: Socket) => {
    waiting.push(socket);
    if (waiting.length === 1) {
      setImmediate(acceptNext);
    }
  });
};

export default spreadConnections;
