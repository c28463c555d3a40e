/** @module Functions that a process is given instead of reading its surroundings. */

/** Clock and random numbers of one process. */
export interface Runtime {
  /** Milliseconds on a clock that never goes back; not comparable between processes. */
  readonly nowMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

const ID_LENGTH = 16;
const ID_RADIX = 36;

/**
 * Draws an identifier from the given random numbers.
 *
 * @example
 * const requestId = drawId(runtime.random);
 */
export const drawId = (random: () => number): string =>
  Array.from({ length: ID_LENGTH }, () => Math.floor(random() * ID_RADIX).toString(ID_RADIX)).join(
    '',
  );
