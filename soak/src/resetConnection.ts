/** @module Closes a connection with a reset. */
import type { Socket } from 'node:net';

/**
 * Closes a connection with a reset. While an orderly end is in progress, the reset follows it:
 * Node.js 20 answers a reset in that state with EINVAL and never frees the handle, after which the
 * process cannot exit.
 *
 * @example
 * resetConnection(socket); // the other side's next read fails with ECONNRESET
 */
const resetConnection = (socket: Socket): void => {
  if (socket.writableEnded && !socket.writableFinished) {
    socket.once('finish', () => resetConnection(socket));
    return;
  }
  socket.resetAndDestroy();
  // Resets now; otherwise the socket first ends its side in order.
  socket.destroy();
};

export default resetConnection;
