/** @module Generates a commented configuration from the answers of an operator. */
import {
  Continuation,
  DuplicateCheck,
  ServiceKind,
  ZoneState,
  type Configuration,
  type OrganisationConfiguration,
  type ServiceConfiguration,
  type TargetConfiguration,
} from '@ebonysill/core';
import type { Answers } from './answers.js';

/** A configuration with the text to publish. */
export interface GeneratedConfiguration {
  readonly configuration: Configuration;
  /** JSON with comments that give the reason for each choice. */
  readonly text: string;
}

type ModelAnswer = Answers['models'][number];

type PlainAnswer = Answers['plainServices'][number];

type OrganisationAnswer = Answers['organisations'][number];

/** Limit on requests in progress of a large organisation at one entry process. */
const LARGE_MAX_IN_PROGRESS = 400;

/** Limit on requests in progress of any other organisation at one entry process. */
const SMALL_MAX_IN_PROGRESS = 100;

/** Share of a large organisation in a full entry process, relative to {@link SMALL_WEIGHT}. */
const LARGE_WEIGHT = 4;

const SMALL_WEIGHT = 1;

const continuationOf = ({ enginesResume, isDeterministic }: ModelAnswer): Continuation => {
  if (enginesResume) {
    return Continuation.Resume;
  }
  return isDeterministic ? Continuation.DeterministicRestart : Continuation.None;
};

const modelService = (answer: ModelAnswer): ServiceConfiguration => ({
  name: answer.name,
  kind: ServiceKind.Model,
  continuation: continuationOf(answer),
  duplicateCheck: DuplicateCheck.None,
  idempotentCalls: [],
  deadlineMs: answer.answerWithinMs,
});

const plainService = (answer: PlainAnswer): ServiceConfiguration => ({
  name: answer.name,
  kind: ServiceKind.Plain,
  continuation: Continuation.None,
  duplicateCheck: answer.targetsCheckKeys ? DuplicateCheck.Key : DuplicateCheck.None,
  idempotentCalls: answer.idempotentCalls,
  deadlineMs: answer.answerWithinMs,
});

const targetsOf = (
  { name, requestsAtOnce, targets }: ModelAnswer | PlainAnswer,
  coldConcurrency: number,
): readonly TargetConfiguration[] =>
  targets.map((target) => ({
    ...target,
    service: name,
    concurrency: requestsAtOnce,
    coldConcurrency,
  }));

const organisationOf = ({
  organisationId,
  credentialSha256,
  isLarge,
}: OrganisationAnswer): OrganisationConfiguration => ({
  organisationId,
  credentialSha256,
  maxInProgress: isLarge ? LARGE_MAX_IN_PROGRESS : SMALL_MAX_IN_PROGRESS,
  weight: isLarge ? LARGE_WEIGHT : SMALL_WEIGHT,
});

const CONTINUATION_REASONS: Readonly<Record<Continuation, string>> = {
  [Continuation.Resume]: 'its engines resume, so a cut answer goes on at another target',
  [Continuation.DeterministicRestart]:
    'its answers are deterministic, so a cut one is started over and the delivered part left out',
  [Continuation.None]: 'a cut answer cannot be continued, so the caller is told',
};

const DUPLICATE_CHECK_REASONS: Readonly<Record<DuplicateCheck, string>> = {
  [DuplicateCheck.Key]: 'its targets refuse a repeated key, so a lost call may be sent again',
  [DuplicateCheck.None]: 'its targets check nothing, so a key runs on one target only',
};

const serviceReason = ({ kind, continuation, duplicateCheck }: ServiceConfiguration): string =>
  kind === ServiceKind.Model
    ? CONTINUATION_REASONS[continuation]
    : DUPLICATE_CHECK_REASONS[duplicateCheck];

const formatItem = (value: object, reason: string): string =>
  `    // ${reason}\n    ${JSON.stringify(value)}`;

const formatList = (name: string, items: readonly string[]): string =>
  items.length === 0 ? `  "${name}": []` : `  "${name}": [\n${items.join(',\n')}\n  ]`;

const formatConfiguration = (deployment: string, configuration: Configuration): string => {
  const { revision, availabilityZones, services, targets, organisations } = configuration;
  const parts = [
    `  // Raise by one with every change; a lower or equal revision is never accepted.\n  "revision": ${revision}`,
    formatList(
      'availabilityZones',
      availabilityZones.map((zone) =>
        formatItem(zone, 'set to "out-of-service" to take the zone out'),
      ),
    ),
    formatList(
      'services',
      services.map((service) => formatItem(service, serviceReason(service))),
    ),
    formatList(
      'targets',
      targets.map((target) =>
        formatItem(target, `bears ${target.coldConcurrency} at once in cold start`),
      ),
    ),
    formatList(
      'organisations',
      organisations.map((organisation) =>
        formatItem(organisation, `weight ${organisation.weight} when an entry process is full`),
      ),
    ),
  ];
  return `// Configuration of ${deployment}, generated from its answers.\n{\n${parts.join(',\n')}\n}\n`;
};

/**
 * Generates a configuration from answers; the same answers give the same text.
 *
 * @example
 * generateConfiguration(answers, 1).text;
 */
export const generateConfiguration = (
  answers: Answers,
  revision: number,
): GeneratedConfiguration => {
  const { models, plainServices, organisations } = answers;
  const configuration: Configuration = {
    revision,
    availabilityZones: answers.availabilityZones.map((name) => ({
      name,
      state: ZoneState.InService,
    })),
    services: [...models.map(modelService), ...plainServices.map(plainService)],
    targets: [
      ...models.flatMap((model) => targetsOf(model, model.requestsAtOnceWhenCold)),
      ...plainServices.flatMap((service) => targetsOf(service, service.requestsAtOnce)),
    ],
    organisations: organisations.map(organisationOf),
    groups: [],
  };
  return { configuration, text: formatConfiguration(answers.deployment, configuration) };
};
