import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  SettingsVerdict,
  describeProblem,
  entrySettingsSchema,
  parseConfiguration,
  parseSettings,
  sidecarSettingsSchema,
} from '../src/index.js';

const ENTRY = `{
  // name and location
  "processId": "entry-1",
  "availabilityZone": "kochi",
  "host": "127.0.0.1",
  "callerPort": 8080,
  "adminPort": 9090,
  "configurationUrl": "http://127.0.0.1:7000",
  "linkSecret": "sixteen letters or more",
}`;

const linesOf = (text: string): readonly string[] => {
  const result = parseSettings(entrySettingsSchema, text, 'entry.jsonc');
  return result.kind === SettingsVerdict.Refused ? result.problems.map(describeProblem) : [];
};

test('comments and trailing commas are accepted', () => {
  expect(linesOf(ENTRY)).toEqual([]);
});

test('a problem names line and field', () => {
  expect(linesOf(ENTRY.replace('8080', '"8080"'))).toEqual([
    'entry.jsonc:6: callerPort: Invalid input: expected number, received string',
  ]);
});

test('an unknown field is refused', () => {
  expect(linesOf(ENTRY.replace('"host"', '"hots"'))).toEqual([
    'entry.jsonc:1: host: expected an IP number',
    'entry.jsonc:5: hots: no such field',
  ]);
});

test('a host name in place of an IP address is refused', () => {
  expect(linesOf(ENTRY.replace('127.0.0.1"', 'localhost"'))).toEqual([
    'entry.jsonc:5: host: expected an IP number',
  ]);
});

test('malformed JSON is refused with its line', () => {
  expect(linesOf('{ "processId" }')[0]).toEqual(
    'entry.jsonc:1: well-formed JSON with comments (ColonExpected)',
  );
});

const CONFIGURATION = {
  revision: 1,
  availabilityZones: [{ name: 'kochi', state: 'in-service' }],
  services: [
    {
      name: 'bookings',
      kind: 'plain',
      continuation: 'none',
      duplicateCheck: 'none',
      idempotentCalls: [],
      deadlineMs: 1_000,
    },
  ],
  targets: [
    {
      targetId: 'bookings-1',
      service: 'bookings',
      availabilityZone: 'kochi',
      sidecarHost: '10.0.0.1',
      sidecarPort: 7_001,
      concurrency: 4,
      coldConcurrency: 1,
    },
  ],
  organisations: [],
};

const fieldsOf = (configuration: object): readonly string[] => {
  const result = parseConfiguration(JSON.stringify(configuration), 'c');
  return result.kind === SettingsVerdict.Refused ? result.problems.map(({ field }) => field) : [];
};

test('a valid configuration is accepted', () => {
  expect(fieldsOf(CONFIGURATION)).toEqual([]);
});

test('contradictions in a configuration are located by field', () => {
  const [target] = CONFIGURATION.targets;
  const targets = [
    { ...target, availabilityZone: 'thrissur' },
    { ...target, service: 'nothing', coldConcurrency: 9 },
  ];
  expect(fieldsOf({ ...CONFIGURATION, targets })).toEqual([
    'targets.1.targetId',
    'targets.0.availabilityZone',
    'targets.1.service',
    'targets.1.coldConcurrency',
  ]);
});

test('a rank that is listed twice in a group is refused', () => {
  const rankOf = (rankId: string, sidecarPort: number): object => ({
    rankId,
    sidecarHost: '10.0.0.1',
    sidecarPort,
  });
  const first = { groupId: 'group-1', ranks: [rankOf('rank-1', 7_001), rankOf('rank-2', 7_002)] };
  const second = { groupId: 'group-2', ranks: [rankOf('rank-3', 7_003), rankOf('rank-3', 7_004)] };
  expect(fieldsOf({ ...CONFIGURATION, groups: [first] })).toEqual([]);
  expect(fieldsOf({ ...CONFIGURATION, groups: [first, second] })).toEqual([
    'groups.1.ranks.1.rankId',
  ]);
});

test('arbitrary text is refused without an exception', () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      const result = parseSettings(sidecarSettingsSchema, text, 'f');
      expect(result.kind).toEqual(SettingsVerdict.Refused);
    }),
    { seed: 5, numRuns: 500 },
  );
});
