/**
 * @module Bounds on what callers may make a gateway keep, derived from its host.
 *
 * Load pattern: callers that nobody controls open connections, send bodies or let answers wait, and
 * stop. Ordinary callers together never come near the bounds of the smallest host: one gateway gets
 * some tens of requests a second, whose bodies come whole within a few milliseconds.
 */

/** What the host of a process offers. */
export interface HostLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
}

/** Bounds on what is kept for callers. */
export interface CallerBounds {
  /** Bodies and answers of all callers together. */
  readonly maxHeldBytes: number;
  readonly maxConnectionCount: number;
}

const BYTES_PER_MB = 1_048_576;

/** Program, stacks and heap of Node as the deployment limits it. */
const PROCESS_MB = 146;

/** The other half of the rest is left for answers of targets and for blocks that are being read. */
const HELD_SHARE = 0.5;

/** A body of the published 4 MiB, once in pieces and once in one buffer, with room for others. */
const MIN_HELD_BYTES = 12_582_912;

/** Descriptors that a host keeps for files. */
const FILE_DESCRIPTORS = 200;

/** The other quarter is left for calls to targets, the store and monitoring. */
const CALLER_SHARE = 0.75;

const MIN_CONNECTION_COUNT = 64;

/** Each connection takes about 5 KB of the heap, and a head up to 16 KB. */
const MAX_CONNECTION_COUNT = 4_096;

/**
 * Derives the bounds of a gateway.
 *
 * @example
 * deriveCallerBounds({ memoryMb: 202, fileDescriptors: 2_069 }).maxConnectionCount; // 1401
 */
export const deriveCallerBounds = ({ memoryMb, fileDescriptors }: HostLimits): CallerBounds => ({
  maxHeldBytes: Math.max(
    MIN_HELD_BYTES,
    Math.floor((memoryMb - PROCESS_MB) * HELD_SHARE * BYTES_PER_MB),
  ),
  maxConnectionCount: Math.min(
    MAX_CONNECTION_COUNT,
    Math.max(MIN_CONNECTION_COUNT, Math.floor((fileDescriptors - FILE_DESCRIPTORS) * CALLER_SHARE)),
  ),
});
