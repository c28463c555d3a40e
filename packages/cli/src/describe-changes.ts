/** @module Describes in words what a new configuration changes. */
import { diffConfiguration, type Configuration, type ListDelta } from '@ebonysill/core';

type NameOf<TItem> = (item: TItem) => string;

const describeList = <TItem>(
  what: string,
  base: readonly TItem[],
  { upserts, removedIds }: ListDelta<TItem>,
  nameOf: NameOf<TItem>,
): readonly string[] => {
  const baseNames = base.map(nameOf);
  return [
    ...upserts.map((item) => {
      const verb = baseNames.includes(nameOf(item)) ? 'changes' : 'is added';
      return `${what} "${nameOf(item)}" ${verb}: ${JSON.stringify(item)}`;
    }),
    ...removedIds.map((id) => `${what} "${id}" is removed`),
  ];
};

const describeRevision = (base: Configuration, next: Configuration): readonly string[] =>
  next.revision > base.revision
    ? [`revision ${base.revision} becomes ${next.revision}`]
    : [`revision ${next.revision} is not above ${base.revision}: it would never be accepted`];

/**
 * Describes the changes from one configuration to another, one line each.
 *
 * @example
 * describeChanges(present, proposed); // ['revision 3 becomes 4', 'zone "kochi" changes: …']
 */
export const describeChanges = (base: Configuration, next: Configuration): readonly string[] => {
  const delta = diffConfiguration(base, next);
  return [
    ...describeRevision(base, next),
    ...describeList('zone', base.availabilityZones, delta.availabilityZones, ({ name }) => name),
    ...describeList('service', base.services, delta.services, ({ name }) => name),
    ...describeList('target', base.targets, delta.targets, ({ targetId }) => targetId),
    ...describeList(
      'organisation',
      base.organisations,
      delta.organisations,
      ({ organisationId }) => organisationId,
    ),
    ...describeList('group', base.groups, delta.groups, ({ groupId }) => groupId),
  ];
};

/** Whether the revision of a proposed configuration is above that of the present one. */
export const isAcceptable = (base: Configuration, next: Configuration): boolean =>
  next.revision > base.revision;
