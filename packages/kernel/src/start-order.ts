/** @module Topological order of services: each starts after the services that it requires. */
import InvariantError from './InvariantError.js';

/** The part of a registration that decides its place in the start order. */
export interface Ordered<TName> {
  readonly name: TName;
  readonly requires: readonly TName[];
}

/**
 * Returns `items` in dependency order. Throws `InvariantError` on a cycle, an unknown name or a
 * name registered twice.
 *
 * @example
 * startOrder([{ name: 'b', requires: ['a'] }, { name: 'a', requires: [] }]); // a, b
 */
export const startOrder = <TName, TItem extends Ordered<TName>>(
  items: readonly TItem[],
): readonly TItem[] => {
  const byName = new Map<TName, TItem>(items.map((item) => [item.name, item]));
  if (byName.size !== items.length) {
    throw new InvariantError('a service name is registered twice');
  }
  const ordered: TItem[] = [];
  const entered = new Set<TName>();
  const visit = (name: TName): void => {
    const item = byName.get(name);
    if (item === undefined) {
      throw new InvariantError(`service "${String(name)}" is required but not registered`);
    }
    if (ordered.includes(item)) {
      return;
    }
    if (entered.has(name)) {
      throw new InvariantError(`service "${String(name)}" requires itself through a cycle`);
    }
    entered.add(name);
    item.requires.forEach(visit);
    ordered.push(item);
  };
  items.forEach((item) => visit(item.name));
  return ordered;
};
