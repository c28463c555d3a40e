import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { Continuation, DuplicateCheck, TargetState, ProcessRole, LogTopic } from '@ebonysill/core';
import { SettingsVerdict, parseConfiguration, parseSettings } from '@ebonysill/settings';
import { expect } from 'earl';
import {
  answersSchema,
  describeChanges,
  formatExplanation,
  formatStatus,
  generateConfiguration,
  type Answers,
} from '../src/index.js';

const EXAMPLES: readonly string[] = ['fraser-bench', 'thaalam'];

const fileOf = (name: string): URL =>
  new URL(`../../../../examples/${name}.answers.jsonc`, import.meta.url);

const readExample = async (name: string): Promise<Answers> => {
  const result = parseSettings(answersSchema, await readFile(fileOf(name), 'utf8'), name);
  if (result.kind === SettingsVerdict.Refused) {
    throw new Error(JSON.stringify(result.problems));
  }
  return result.value;
};

EXAMPLES.forEach((name) => {
  test(`generates a valid configuration from ${name}`, async () => {
    const { configuration, text } = generateConfiguration(await readExample(name), 1);
    const parsed = parseConfiguration(text, name);
    expect(parsed.kind === SettingsVerdict.Accepted && parsed.value).toEqual(configuration);
    expect(configuration.targets.length).toEqual(15);
  });

  test(`generates the same text each time from ${name}`, async () => {
    const answers = await readExample(name);
    expect(generateConfiguration(answers, 1).text).toEqual(generateConfiguration(answers, 1).text);
  });
});

test('answers decide continuation and duplicate check', async () => {
  const answers = await readExample('thaalam');
  const [model] = answers.models;
  const [plain] = answers.plainServices;
  if (model === undefined || plain === undefined) {
    throw new Error('the example lists no model or no plain service');
  }
  const { configuration } = generateConfiguration(
    {
      ...answers,
      models: [{ ...model, enginesResume: false, isDeterministic: true }],
      plainServices: [{ ...plain, targetsCheckKeys: true }],
    },
    1,
  );
  expect(configuration.services.map(({ continuation }) => continuation)).toEqual([
    Continuation.DeterministicRestart,
    Continuation.None,
  ]);
  expect(configuration.services.map(({ duplicateCheck }) => duplicateCheck)).toEqual([
    DuplicateCheck.None,
    DuplicateCheck.Key,
  ]);
});

test('rejects a target in a zone that is not listed', async () => {
  const answers = await readExample('thaalam');
  const { text } = generateConfiguration({ ...answers, availabilityZones: ['kochi'] }, 1);
  const parsed = parseConfiguration(text, 'c');
  const fields =
    parsed.kind === SettingsVerdict.Refused ? parsed.problems.map(({ field }) => field) : [];
  expect(fields.includes('targets.1.availabilityZone')).toEqual(true);
});

test('describes changes and rejects a lower revision', async () => {
  const answers = await readExample('thaalam');
  const base = generateConfiguration(answers, 1).configuration;
  const next = generateConfiguration(
    { ...answers, organisations: answers.organisations.slice(1) },
    2,
  ).configuration;
  expect(describeChanges(base, next)).toEqual([
    'revision 1 becomes 2',
    'organisation "organiser-1" is removed',
  ]);
  expect(describeChanges(next, base)[0]).toEqual(
    'revision 1 is not above 2: it would never be accepted',
  );
});

test('describes a group that is added', async () => {
  const answers = await readExample('thaalam');
  const base = generateConfiguration(answers, 1).configuration;
  const ranks = [{ rankId: 'rank-1', sidecarHost: '10.0.0.1', sidecarPort: 7_001 }];
  const next = { ...base, revision: 2, groups: [{ groupId: 'group-1', ranks }] };
  expect(describeChanges(base, next)).toEqual([
    'revision 1 becomes 2',
    `group "group-1" is added: ${JSON.stringify(next.groups[0])}`,
  ]);
});

test('status table shows load, links, memory and uptime', () => {
  const table = formatStatus([
    {
      processId: 'bookings-1',
      role: ProcessRole.Sidecar,
      availabilityZone: 'kochi',
      revision: 3,
      load: {
        targetId: 'bookings-1',
        state: TargetState.Warm,
        runningCount: 2,
        waitingCount: 1,
        limit: 8,
      },
      peers: [],
      residentBytes: 50_000_000,
      uptimeMs: 61_000,
    },
  ]);
  expect(table.split('\n')[1]?.split(/\s{2,}/)).toEqual([
    'bookings-1',
    'sidecar',
    'kochi',
    '3',
    'warm',
    '2',
    '1',
    '8',
    '0',
    '50 MB',
    '61 s',
  ]);
});

test('explanation omits processes without decisions', () => {
  const text = formatExplanation('r1', [
    { processId: 'entry-1', lines: [{ atMs: 5, topic: LogTopic.RequestEnded, fields: {} }] },
    { processId: 'bookings-1', lines: [] },
  ]);
  expect(text).toEqual('request r1\nentry-1\n  +0.0 ms  request ended  \n');
});
