/**
 * @module Bounds on what callers may make a process keep, derived from its host.
 *
 * Load pattern: callers that nobody controls open connections, send bodies or let answers wait, and
 * stop. Ordinary callers together never come near the bounds of the smallest host: one process gets
 * some tens of requests a second, whose bodies come whole within a few milliseconds.
 */

/** What the host of a process offers. */
export interface HostLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
  /** Memory of the process while it serves ordinary callers; by default that of a gateway. */
  readonly processMb?: number;
}

/** Bounds on what is kept for callers. */
export interface CallerBounds {
  /** Bodies and answers of all callers together. */
  readonly maxHeldBytes: number;
  readonly maxConnectionCount: number;
  /** Bytes of all connections that wait to be read as requests. */
  readonly maxUnreadBytes: number;
  /** Connections that wait in the system to be accepted. */
  readonly maxBacklogCount: number;
}

const BYTES_PER_MB = 1_048_576;

/** Program, stacks and heap of a gateway that serves ordinary callers. */
const GATEWAY_MB = 76;

/** Of the rest; answers of targets get as much again. */
const HELD_SHARE = 0.25;

const UNREAD_SHARE = 0.1;

const BACKLOG_SHARE = 0.25;

const CONNECTION_SHARE = 0.15;

/** A body of the published 4 MiB, once in pieces and once in one buffer, with room for others. */
const MIN_HELD_BYTES = 9_437_184;

/** Descriptors that a host keeps for files. */
const FILE_DESCRIPTORS = 200;

/** The other quarter is left for calls to targets, the store and monitoring. */
const CALLER_SHARE = 0.75;

const MIN_CONNECTION_COUNT = 64;

const MAX_CONNECTION_COUNT = 4_096;

/** Socket and parser of a connection. */
const CONNECTION_BYTES = 12_288;

/** What the system receives of a connection that is not accepted. */
const BACKLOG_CONNECTION_BYTES = 65_536;

const MIN_BACKLOG_COUNT = 64;

const MAX_BACKLOG_COUNT = 1_024;

/** Four full blocks in the process and in the system. */
const MIN_UNREAD_BYTES = 524_288;

/**
 * Derives the bounds of a process.
 *
 * @example
 * deriveCallerBounds({ memoryMb: 202, fileDescriptors: 2_069 }).maxConnectionCount; // 1401
 */
export const deriveCallerBounds = ({
  memoryMb,
  fileDescriptors,
  processMb = GATEWAY_MB,
}: HostLimits): CallerBounds => {
  const spareBytes = Math.max(0, memoryMb - processMb) * BYTES_PER_MB;
  return {
    maxHeldBytes: Math.max(MIN_HELD_BYTES, Math.floor(spareBytes * HELD_SHARE)),
    maxConnectionCount: Math.min(
      MAX_CONNECTION_COUNT,
      Math.max(
        MIN_CONNECTION_COUNT,
        Math.floor(
          Math.min(
            (fileDescriptors - FILE_DESCRIPTORS) * CALLER_SHARE,
            (spareBytes * CONNECTION_SHARE) / CONNECTION_BYTES,
          ),
        ),
      ),
    ),
    maxUnreadBytes: Math.max(MIN_UNREAD_BYTES, Math.floor(spareBytes * UNREAD_SHARE)),
    maxBacklogCount: Math.min(
      MAX_BACKLOG_COUNT,
      Math.max(
        MIN_BACKLOG_COUNT,
        Math.floor((spareBytes * BACKLOG_SHARE) / BACKLOG_CONNECTION_BYTES),
      ),
    ),
  };
};
