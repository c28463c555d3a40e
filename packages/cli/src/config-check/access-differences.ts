/** @module Rules for what a new version changes for organisations, services and limits. */
import type { Organisation, PublishedConfiguration, PublishedService } from '@ebonysill/gateway';
import { indexCredentials } from './access.js';
import {
  RuleName,
  Severity,
  Version,
  findingsOf,
  quote,
  type Finding,
  type FieldPath,
} from './finding.js';
import { listLimits } from './limit-rules.js';
import { comparing } from './route-differences.js';

const countCredentials = (count: number): string =>
  count === 1 ? '1 credential' : `${count} credentials`;

interface CredentialGroup {
  readonly path: FieldPath;
  readonly organisation: string;
  readonly credentials: readonly string[];
}

/** Credentials that one configuration has and another lacks, by organisation. */
const listMissing = (
  present: PublishedConfiguration,
  absent: PublishedConfiguration,
): readonly CredentialGroup[] => {
  const others = indexCredentials(absent);
  return present.organisations.flatMap(({ name, credentials }, index) => {
    const missing = credentials.filter(
      (credential) => credential !== '' && !others.has(credential),
    );
    const path = ['organisations', index, 'credentials'];
    return missing.length === 0 ? [] : [{ path, organisation: name, credentials: missing }];
  });
};

/** Warns of credentials that identify nobody any more. */
export const findRemovedCredentials = comparing((next, base) => {
  if (!base.needsCredentials || !next.needsCredentials) {
    return [];
  }
  const remaining = new Set(
    next.organisations
      .filter(({ credentials }) => credentials.some((credential) => credential !== ''))
      .map(({ name }) => name),
  );
  return listMissing(base, next).map(({ path, organisation, credentials }) => ({
    severity: Severity.Warning,
    rule: RuleName.CredentialsRemoved,
    version: Version.Base,
    path,
    text: `organisation ${quote(organisation)} loses ${countCredentials(credentials.length)}${
      remaining.has(organisation) ? '' : ' and has none left'
    }; callers with them get 401`,
  }));
});

/** Warns of credentials that identify another organisation than before. */
export const findMovedCredentials = comparing((next, base) => {
  const before = indexCredentials(base);
  const after = indexCredentials(next);
  return next.organisations.flatMap(({ name, credentials }, index) =>
    credentials.flatMap((credential, position) => {
      const owner = before.get(credential)?.name;
      return owner === undefined || owner === name || after.get(credential)?.name !== name
        ? []
        : [
            findingsOf(Severity.Warning, RuleName.CredentialMoved)(
              ['organisations', index, 'credentials', position],
              `the credential is taken from organisation ${quote(owner)}; its requests count for ${quote(name)}`,
            ),
          ];
    }),
  );
});

/** Reports credentials with which callers get in from now on. */
export const findAddedCredentials = comparing((next, base) =>
  next.needsCredentials
    ? listMissing(next, base).map(({ path, organisation, credentials }) =>
        findingsOf(Severity.Difference, RuleName.CredentialsAdded)(
          path,
          `organisation ${quote(organisation)} gains ${countCredentials(credentials.length)}`,
        ),
      )
    : [],
);

const describePriority = ({ priority }: Organisation): string =>
  priority === undefined ? 'that of the route' : String(priority);

/** Reports organisations whose requests get another priority. */
export const findOrganisationPriorities = comparing((next, base) => {
  const byName = new Map(base.organisations.map((item) => [item.name, item]));
  return next.organisations.flatMap((organisation, index) => {
    const before = byName.get(organisation.name);
    return before === undefined || before.priority === organisation.priority
      ? []
      : [
          findingsOf(Severity.Difference, RuleName.OrganisationPriority)(
            ['organisations', index, 'priority'],
            `requests of organisation ${quote(organisation.name)} have the priority ${describePriority(organisation)} instead of ${describePriority(before)}`,
          ),
        ];
  });
});

type Leaves = ReadonlyMap<string, { readonly path: FieldPath; readonly value: unknown }>;

/** Values of a service by path; lists do not occur in one. */
const listLeaves = (value: unknown, path: FieldPath): Leaves =>
  typeof value === 'object' && value !== null
    ? new Map(
        Object.entries(value).flatMap(([name, item]) => [...listLeaves(item, [...path, name])]),
      )
    : new Map([[path.join('.'), { path, value }]]);

const describeValue = (value: unknown): string =>
  value === undefined ? 'none' : JSON.stringify(value);

const compareService = (
  next: PublishedService,
  base: PublishedService,
  index: number,
): readonly Finding[] => {
  const after = listLeaves(next, []);
  const before = listLeaves(base, []);
  return [...new Map([...before, ...after])].flatMap(([key, { path }]) => {
    const nextValue = after.get(key)?.value;
    const baseValue = before.get(key)?.value;
    return nextValue === baseValue
      ? []
      : [
          findingsOf(Severity.Difference, RuleName.ServiceChanged)(
            ['services', index, ...path],
            `service ${quote(next.name)} has ${describeValue(nextValue)} instead of ${describeValue(baseValue)}`,
          ),
        ];
  });
};

/** Reports what changes for all requests to a service. */
export const findChangedServices = comparing((next, base) => {
  const before = new Map(base.services.map((service) => [service.name, service]));
  const names = new Set(next.services.map(({ name }) => name));
  const create = findingsOf(Severity.Difference, RuleName.ServiceChanged);
  return [
    ...next.services.flatMap((service, index) => {
      const known = before.get(service.name);
      return known === undefined
        ? [create(['services', index], `service ${quote(service.name)} is new`)]
        : compareService(service, known, index);
    }),
    ...base.services.flatMap(({ name }, index) =>
      names.has(name)
        ? []
        : [
            {
              ...create(['services', index], `service ${quote(name)} is gone`),
              version: Version.Base,
            },
          ],
    ),
  ];
});

/** Reports limits of callers that change. */
export const findChangedLimits = comparing((next, base) => {
  const before = new Map(listLimits(base.limits).map(({ field, value }) => [field, value]));
  return listLimits(next.limits).flatMap(({ field, value, unit }) => {
    const baseValue = before.get(field);
    return baseValue === undefined || baseValue === value
      ? []
      : [
          findingsOf(Severity.Difference, RuleName.LimitChanged)(
            ['limits', field],
            `callers have ${value < baseValue ? 'less' : 'more'}: ${value} ${unit} instead of ${baseValue} ${unit}`,
          ),
        ];
  });
});
