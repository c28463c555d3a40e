/** @module Schema of the fleet's configuration, with checks across its parts. */
import {
  Continuation,
  DuplicateCheck,
  ServiceKind,
  ZoneState,
  type Configuration,
} from '@ebonysill/core';
import * as z from 'zod';
import { ipField, nameField, portField } from './fields.js';
import { parseSettings, type SettingsResult } from './parse-settings.js';

const MAX_DEADLINE_MS = 3_600_000;

const MAX_WEIGHT = 1_000;

const idempotentCallSchema = z.strictObject({
  method: z.string().regex(/^[A-Z]{1,16}$/, 'expected an HTTP method in capitals'),
  pathPrefix: z.string().startsWith('/'),
});

const serviceSchema = z.strictObject({
  name: nameField,
  kind: z.enum(ServiceKind),
  continuation: z.enum(Continuation),
  duplicateCheck: z.enum(DuplicateCheck),
  idempotentCalls: z.array(idempotentCallSchema),
  deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
});

const targetSchema = z.strictObject({
  targetId: nameField,
  service: nameField,
  availabilityZone: nameField,
  sidecarHost: ipField,
  sidecarPort: portField,
  concurrency: z.int().min(1),
  coldConcurrency: z.int().min(1),
});

const organisationSchema = z.strictObject({
  organisationId: nameField,
  credentialSha256: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hexadecimal'),
  maxInProgress: z.int().min(1),
  weight: z.number().positive().max(MAX_WEIGHT),
});

const zoneSchema = z.strictObject({ name: nameField, state: z.enum(ZoneState) });

const groupSchema = z.strictObject({
  groupId: nameField,
  ranks: z
    .array(z.strictObject({ rankId: nameField, sidecarHost: ipField, sidecarPort: portField }))
    .min(1),
});

const shapeSchema = z.strictObject({
  revision: z.int().min(1),
  availabilityZones: z.array(zoneSchema).min(1),
  services: z.array(serviceSchema),
  targets: z.array(targetSchema),
  organisations: z.array(organisationSchema),
  groups: z.array(groupSchema).default([]),
});

type Shape = z.infer<typeof shapeSchema>;

interface Issue {
  readonly path: (string | number)[];
  readonly message: string;
}

const findDuplicates = (
  list: keyof Shape,
  field: string,
  names: readonly string[],
): readonly Issue[] =>
  names.flatMap((name, index) =>
    names.indexOf(name) === index
      ? []
      : [{ path: [list, index, field], message: `"${name}" is listed more than once` }],
  );

const findDoubledRanks = ({ groups }: Shape): readonly Issue[] =>
  groups.flatMap(({ ranks }, groupIndex) => {
    const rankIds = ranks.map(({ rankId }) => rankId);
    return rankIds.flatMap((rankId, index) =>
      rankIds.indexOf(rankId) === index
        ? []
        : [
            {
              path: ['groups', groupIndex, 'ranks', index, 'rankId'],
              message: `"${rankId}" is listed more than once`,
            },
          ],
    );
  });

const findIssues = (shape: Shape): readonly Issue[] => {
  const zoneNames = shape.availabilityZones.map(({ name }) => name);
  const serviceNames = shape.services.map(({ name }) => name);
  const targetIds = shape.targets.map(({ targetId }) => targetId);
  const organisationIds = shape.organisations.map(({ organisationId }) => organisationId);
  const groupIds = shape.groups.map(({ groupId }) => groupId);
  const targetIssues = shape.targets.flatMap((target, index) => [
    ...(zoneNames.includes(target.availabilityZone)
      ? []
      : [
          {
            path: ['targets', index, 'availabilityZone'],
            message: 'expected a zone listed in availabilityZones',
          },
        ]),
    ...(serviceNames.includes(target.service)
      ? []
      : [
          { path: ['targets', index, 'service'], message: 'expected a service listed in services' },
        ]),
    ...(target.coldConcurrency <= target.concurrency
      ? []
      : [
          {
            path: ['targets', index, 'coldConcurrency'],
            message: 'expected at most the value of concurrency',
          },
        ]),
  ]);
  return [
    ...findDuplicates('availabilityZones', 'name', zoneNames),
    ...findDuplicates('services', 'name', serviceNames),
    ...findDuplicates('targets', 'targetId', targetIds),
    ...findDuplicates('organisations', 'organisationId', organisationIds),
    ...findDuplicates('groups', 'groupId', groupIds),
    ...findDoubledRanks(shape),
    ...targetIssues,
  ];
};

const configurationSchema = shapeSchema.superRefine((shape, context) => {
  findIssues(shape).forEach(({ path, message }) => {
    context.addIssue({ code: 'custom', path, message });
  });
});

/**
 * Parses and validates a configuration, including references between its parts.
 *
 * @example
 * const result = parseConfiguration(text, 'configuration.jsonc');
 */
const parseConfiguration = (text: string, file: string): SettingsResult<Configuration> =>
  parseSettings<Configuration>(configurationSchema, text, file);

export default parseConfiguration;
