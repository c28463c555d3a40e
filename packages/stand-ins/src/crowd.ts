/** @module Callers that keep to no limit: each writes raw bytes and stays open until it is closed. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { LOOPBACK_HOST } from './loopback-host.js';

/** Connections that are opened at once; the rest follows, so that the queue of the listener holds. */
const BATCH_SIZE = 100;

/** Bytes that a caller writes, in parts, or a function that gives them to each caller by number. */
export interface CrowdCaller {
  readonly parts: readonly Buffer[];
  /** Whether the caller never reads what it is sent. */
  readonly isDeaf?: boolean;
}

/** Callers of one test. */
export interface Crowd {
  /** By default the loopback address of this process. */
  readonly host?: string;
  readonly port: number;
  readonly callerCount: number;
  readonly caller: CrowdCaller;
}

/** Writes a part; resolves when the system has taken it, or when the connection has closed. */
const write = async (socket: Socket, part: Buffer): Promise<void> => {
  if (socket.destroyed) {
    return;
  }
  await new Promise<void>((resolve) => {
    socket.write(part, () => resolve());
    socket.once('close', () => resolve());
  });
};

const start = async (
  host: string,
  port: number,
  { parts, isDeaf = false }: CrowdCaller,
): Promise<Socket> => {
  const socket = connect({ port, host, allowHalfOpen: true });
  // Each part waits for the close.
  socket.setMaxListeners(0);
  socket.on('error', () => socket.destroy());
  await Promise.race([once(socket, 'connect'), once(socket, 'close')]);
  if (isDeaf) {
    socket.pause();
  } else {
    socket.resume();
  }
  await parts.reduce<Promise<void>>(async (before, part) => {
    await before;
    await write(socket, part);
  }, Promise.resolve());
  return socket;
};

/**
 * Starts a crowd; resolves with its connections, which stay open, once each caller has written all of
 * its parts or was closed.
 *
 * @example
 * await startCrowd({ port, callerCount: 400, caller: { parts: [head] } });
 */
export const startCrowd = async ({
  host = LOOPBACK_HOST,
  port,
  callerCount,
  caller,
}: Crowd): Promise<readonly Socket[]> => {
  const batch = await Promise.all(
    Array.from({ length: Math.min(BATCH_SIZE, callerCount) }, () => start(host, port, caller)),
  );
  return callerCount <= BATCH_SIZE
    ? batch
    : [
        ...batch,
        ...(await startCrowd({ host, port, callerCount: callerCount - BATCH_SIZE, caller })),
      ];
};
