/** @module Loopback address of a test process. */
const BYTE_RANGE = 256;

/**
 * Loopback address on which only the process with this id listens. Two test processes that draw the
 * same port do not reach each other's servers: a readiness check answered by another process let a
 * test begin before its own gateway listened.
 *
 * @example
 * loopbackHostOf(70_000); // '127.17.17.112'
 */
export const loopbackHostOf = (processId: number): string => {
  // The first block, which contains 127.0.0.1, is left to outgoing connections.
  const block = 16 + Math.floor(processId / BYTE_RANGE ** 2);
  return `127.${block}.${Math.floor(processId / BYTE_RANGE) % BYTE_RANGE}.${processId % BYTE_RANGE}`;
};

/** Loopback address of this process. */
export const LOOPBACK_HOST = loopbackHostOf(process.pid);
