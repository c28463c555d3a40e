/** @module Seeded random numbers. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws a number uniform in [0, 1). */
export type Random = () => number;

/**
 * Creates a generator that gives the same numbers for the same seed.
 *
 * @example
 * const random = createRandom(42);
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};
