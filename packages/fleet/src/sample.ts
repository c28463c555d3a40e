/** @module Random sampling without replacement. */

/** Function that chooses up to `count` distinct items. */
type Sample = <TItem>(
  items: readonly TItem[],
  count: number,
  random: () => number,
) => readonly TItem[];

/**
 * Chooses up to `count` distinct items at random.
 *
 * @example
 * sample(['a', 'b', 'c'], 2, runtime.random); // for instance c, a
 */
const sample: Sample = (items, count, random) => {
  if (items.length <= count) {
    return items;
  }
  const pool = [...items];
  return Array.from({ length: count }, () => {
    const [chosen] = pool.splice(Math.floor(random() * pool.length), 1);
    return chosen as (typeof items)[number];
  });
};

export default sample;
