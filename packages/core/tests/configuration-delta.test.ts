import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  ZoneState,
  applyDelta,
  diffConfiguration,
  type Configuration,
  type OrganisationConfiguration,
  type ZoneConfiguration,
} from '../src/index.js';

const RECORD_OPTIONS = { noNullPrototype: true };

const zones: fc.Arbitrary<ZoneConfiguration[]> = fc.uniqueArray(
  fc.record(
    {
      name: fc.constantFrom('a', 'b', 'c', 'd'),
      state: fc.constantFrom(ZoneState.InService, ZoneState.OutOfService),
    },
    RECORD_OPTIONS,
  ),
  { selector: ({ name }) => name },
);

const organisations: fc.Arbitrary<OrganisationConfiguration[]> = fc.uniqueArray(
  fc.record(
    {
      organisationId: fc.constantFrom('x', 'y', 'z'),
      credentialSha256: fc.constantFrom('1', '2'),
      maxInProgress: fc.nat(3),
      weight: fc.constant(1),
    },
    RECORD_OPTIONS,
  ),
  { selector: ({ organisationId }) => organisationId },
);

const configurations = (revision: number): fc.Arbitrary<Configuration> =>
  fc.record(
    {
      revision: fc.constant(revision),
      availabilityZones: zones,
      services: fc.constant([]),
      targets: fc.constant([]),
      organisations,
      groups: fc.constant([]),
    },
    RECORD_OPTIONS,
  );

const sorted = ({ availabilityZones, organisations: all, ...rest }: Configuration): object => ({
  ...rest,
  availabilityZones: [...availabilityZones].sort((left, right) =>
    left.name.localeCompare(right.name),
  ),
  organisations: [...all].sort((left, right) =>
    left.organisationId.localeCompare(right.organisationId),
  ),
});

test('applying the delta of two configurations gives the second', () => {
  fc.assert(
    fc.property(configurations(1), configurations(2), (base, next) => {
      expect(sorted(applyDelta(base, diffConfiguration(base, next)))).toEqual(sorted(next));
    }),
    { seed: 9, numRuns: 300 },
  );
});

test('delta of equal lists is empty', () => {
  fc.assert(
    fc.property(configurations(1), (base) => {
      const delta = diffConfiguration(base, { ...base, revision: 2 });
      expect(delta.availabilityZones).toEqual({ upserts: [], removedIds: [] });
      expect(delta.organisations).toEqual({ upserts: [], removedIds: [] });
    }),
    { seed: 10, numRuns: 100 },
  );
});
