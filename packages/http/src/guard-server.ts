/** @module Bounds for HTTP servers whose requests have no bodies, such as health checks and metrics. */
import type { Server } from 'node:http';
import { CHECK_INTERVAL_MS, type DropCause } from './ByteBudget.js';
import ConnectionLimit from './ConnectionLimit.js';

/** Connections of one such server. */
export const MAX_STATUS_CONNECTIONS = 64;

/** Time for a head, and for a whole request with a body that is dropped. */
const REQUEST_TIMEOUT_MS = 3_000;

/** Time without a byte in either direction, also while an answer is not read. */
const IDLE_TIMEOUT_MS = 15_000;

const MAX_REQUESTS_PER_SOCKET = 1_000;

/** Bounds that a test may lower. */
export interface ServerBounds {
  readonly maxConnectionCount?: number;
  readonly requestTimeoutMs?: number;
  readonly idleTimeoutMs?: number;
}

/**
 * Bounds the connections of a server, their requests and the time that they may be idle.
 *
 * @example
 * guardServer(createServer(answer));
 */
export const guardServer = (
  server: Server,
  {
    maxConnectionCount = MAX_STATUS_CONNECTIONS,
    requestTimeoutMs = REQUEST_TIMEOUT_MS,
    idleTimeoutMs = IDLE_TIMEOUT_MS,
  }: ServerBounds = {},
  onDropped: (cause: DropCause) => void = () => undefined,
): void => {
  const limit = ConnectionLimit.create({ maxCount: maxConnectionCount, onDropped });
  limit.watch(server);
  const timer = setInterval(() => limit.check(), CHECK_INTERVAL_MS).unref();
  server.on('close', () => clearInterval(timer));
  Object.assign(server, {
    headersTimeout: requestTimeoutMs,
    requestTimeout: requestTimeoutMs,
    keepAliveTimeout: idleTimeoutMs,
    timeout: idleTimeoutMs,
    maxRequestsPerSocket: MAX_REQUESTS_PER_SOCKET,
  });
  // Without this, Node asks the caller for a body that nobody reads.
  server.on('checkContinue', (request, response) => server.emit('request', request, response));
  server.on('request', ({ socket }, response) => {
    limit.recordRequest(socket);
    response.on('close', () => limit.recordAnswer(socket));
  });
};
