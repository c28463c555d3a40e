/** @module Differences between two configurations, and their application. */
import type {
  Configuration,
  GroupConfiguration,
  OrganisationConfiguration,
  ServiceConfiguration,
  TargetConfiguration,
  ZoneConfiguration,
} from './configuration.js';

/** Changes of one list whose items have identifiers. */
export interface ListDelta<TItem> {
  /** Items that are new or different. */
  readonly upserts: readonly TItem[];
  readonly removedIds: readonly string[];
}

/** Changes from the base revision to a higher one. */
export interface ConfigurationDelta {
  readonly baseRevision: number;
  readonly revision: number;
  readonly availabilityZones: ListDelta<ZoneConfiguration>;
  readonly services: ListDelta<ServiceConfiguration>;
  readonly targets: ListDelta<TargetConfiguration>;
  readonly organisations: ListDelta<OrganisationConfiguration>;
  readonly groups: ListDelta<GroupConfiguration>;
}

type IdOf<TItem> = (item: TItem) => string;

const zoneIdOf: IdOf<ZoneConfiguration> = ({ name }) => name;

const serviceIdOf: IdOf<ServiceConfiguration> = ({ name }) => name;

const targetIdOf: IdOf<TargetConfiguration> = ({ targetId }) => targetId;

const organisationIdOf: IdOf<OrganisationConfiguration> = ({ organisationId }) => organisationId;

const groupIdOf: IdOf<GroupConfiguration> = ({ groupId }) => groupId;

const isSame = <TItem>(left: TItem | undefined, right: TItem): boolean =>
  left === right || JSON.stringify(left) === JSON.stringify(right);

const diffList = <TItem>(
  base: readonly TItem[],
  next: readonly TItem[],
  idOf: IdOf<TItem>,
): ListDelta<TItem> => {
  const baseById = new Map(base.map((item) => [idOf(item), item]));
  const nextIds = new Set(next.map(idOf));
  return {
    upserts: next.filter((item) => !isSame(baseById.get(idOf(item)), item)),
    removedIds: base.map(idOf).filter((id) => !nextIds.has(id)),
  };
};

const applyList = <TItem>(
  base: readonly TItem[],
  { upserts, removedIds }: ListDelta<TItem>,
  idOf: IdOf<TItem>,
): readonly TItem[] => {
  const items = new Map(base.map((item) => [idOf(item), item]));
  removedIds.forEach((id) => items.delete(id));
  upserts.forEach((item) => items.set(idOf(item), item));
  return [...items.values()];
};

/**
 * Computes the changes that lead from one configuration to another.
 *
 * @example
 * diffConfiguration(revision7, revision8).targets.upserts.length;
 */
export const diffConfiguration = (
  base: Configuration,
  next: Configuration,
): ConfigurationDelta => ({
  baseRevision: base.revision,
  revision: next.revision,
  availabilityZones: diffList(base.availabilityZones, next.availabilityZones, zoneIdOf),
  services: diffList(base.services, next.services, serviceIdOf),
  targets: diffList(base.targets, next.targets, targetIdOf),
  organisations: diffList(base.organisations, next.organisations, organisationIdOf),
  groups: diffList(base.groups, next.groups, groupIdOf),
});

/**
 * Applies changes to the configuration of their base revision. The order of items within a list is
 * not preserved.
 *
 * @example
 * applyDelta(revision7, diffConfiguration(revision7, revision8)).revision; // 8
 */
export const applyDelta = (base: Configuration, delta: ConfigurationDelta): Configuration => ({
  revision: delta.revision,
  availabilityZones: applyList(base.availabilityZones, delta.availabilityZones, zoneIdOf),
  services: applyList(base.services, delta.services, serviceIdOf),
  targets: applyList(base.targets, delta.targets, targetIdOf),
  organisations: applyList(base.organisations, delta.organisations, organisationIdOf),
  groups: applyList(base.groups, delta.groups, groupIdOf),
});
