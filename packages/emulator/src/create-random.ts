/** @module Seeded random numbers. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns the next number, uniformly distributed in [0, 1). */
export type Random = () => number;

/**
 * Creates a generator; the same seed always yields the same sequence.
 *
 * @example
 * const random = createRandom(42);
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};
