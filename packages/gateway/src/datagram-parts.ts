/** @module Splits lists over several datagrams. */

/** Entries of one kind in a datagram. */
const MAX_ENTRIES = 16;

/** Datagrams of one answer; further entries are left out. */
const MAX_DATAGRAMS = 16;

/**
 * Number of datagrams that lists of these lengths take together.
 *
 * @example
 * datagramCountOf([3, 40]); // 3
 */
export const datagramCountOf = (lengths: readonly number[]): number =>
  Math.min(MAX_DATAGRAMS, Math.ceil(Math.max(0, ...lengths) / MAX_ENTRIES));

/**
 * Entries of a list that belong to one of the datagrams.
 *
 * @example
 * partOf(limits, 0).length <= 16;
 */
export const partOf = <TItem>(items: readonly TItem[], index: number): readonly TItem[] =>
  items.slice(index * MAX_ENTRIES, (index + 1) * MAX_ENTRIES);
