/**
 * @module Clock and random numbers, which a process gets as functions so that a run can be repeated
 * with a virtual clock and a seed.
 */

/** Clock and random numbers of one process. */
export interface Runtime {
  /** Time of a monotonic clock in milliseconds; not comparable between processes. */
  readonly nowMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

const ID_LENGTH = 16;
const ID_RADIX = 36;

/**
 * Generates a random identifier of 16 characters from 0-9 and a-z.
 *
 * @example
 * const requestId = generateId(runtime.random);
 */
export const generateId = (random: () => number): string =>
  Array.from({ length: ID_LENGTH }, () => Math.floor(random() * ID_RADIX).toString(ID_RADIX)).join(
    '',
  );
