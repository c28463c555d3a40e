/** @module Connections whose first bytes are read in small steps. */
import { connect, type Socket, type TcpNetConnectOpts } from 'node:net';

/**
 * Bytes of a read as long as the connection has not shown that it brings large blocks: the parser cannot
 * stop within a block, and takes about a millisecond for this many in chunks of one byte.
 */
const SMALL_READ_BYTES = 4_096;

const LARGE_READ_BYTES = 65_536;

/** Full reads in a row from which on a connection is read in large blocks. */
const FULL_READ_COUNT = 4;

// Each block is copied before the next read, so all connections share the buffers.
const smallBuffer = Buffer.allocUnsafeSlow(SMALL_READ_BYTES);

const largeBuffer = Buffer.allocUnsafeSlow(LARGE_READ_BYTES);

/** A connection that is read in steps. */
export interface SteppedConnection {
  readonly socket: Socket;
  /** Reads in small steps from now on. */
  readonly readInSmallSteps: () => void;
}

/**
 * Opens a connection.
 *
 * @example
 * const { socket } = connectInSteps({ host: '10.2.0.7', port: 8100 });
 */
const connectInSteps = (options: TcpNetConnectOpts): SteppedConnection => {
  let fullReadCount = 0;
  const socket: Socket = connect({
    ...options,
    noDelay: true,
    onread: {
      buffer: () => (fullReadCount >= FULL_READ_COUNT ? largeBuffer : smallBuffer),
      callback: (sizeBytes, buffer) => {
        fullReadCount = sizeBytes === buffer.length ? fullReadCount + 1 : 0;
        return socket.push(Buffer.from(buffer.subarray(0, sizeBytes)));
      },
    },
  });
  return {
    socket,
    readInSmallSteps: () => {
      fullReadCount = Number.NEGATIVE_INFINITY;
    },
  };
};

export default connectInSteps;
