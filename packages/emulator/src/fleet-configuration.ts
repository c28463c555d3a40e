/** @module Builds the configurations of emulated fleets. */
import {
  Continuation,
  DuplicateCheck,
  ServiceKind,
  ZoneState,
  type Configuration,
  type ServiceConfiguration,
} from '@ebonysill/core';
import { createHash } from 'node:crypto';

/** Size and services of an emulated fleet. */
export interface FleetShape {
  readonly zones: readonly string[];
  readonly targetsPerZone: number;
  readonly services: readonly ServiceConfiguration[];
  readonly organisations: readonly string[];
  readonly concurrency: number;
  readonly coldConcurrency: number;
}

/** Host of every emulated address; addresses differ in their port. */
export const EMULATED_HOST = '10.0.0.1';

const FIRST_PORT = 10_000;

const MAX_IN_PROGRESS = 10_000;

const DEADLINE_MS = 20_000;

/**
 * Returns the configuration of a model service.
 *
 * @example
 * modelService('assistant', Continuation.Resume);
 */
export const modelService = (name: string, continuation: Continuation): ServiceConfiguration => ({
  name,
  kind: ServiceKind.Model,
  continuation,
  duplicateCheck: DuplicateCheck.None,
  idempotentCalls: [],
  deadlineMs: DEADLINE_MS,
});

/**
 * Returns the configuration of a plain service.
 *
 * @example
 * plainService('enrolment', DuplicateCheck.None);
 */
export const plainService = (
  name: string,
  duplicateCheck: DuplicateCheck,
): ServiceConfiguration => ({
  name,
  kind: ServiceKind.Plain,
  continuation: Continuation.None,
  duplicateCheck,
  idempotentCalls: [],
  deadlineMs: DEADLINE_MS,
});

/**
 * Builds the configuration of a fleet at a revision.
 *
 * @example
 * buildFleetConfiguration(shape, 1, []);
 */
export const buildFleetConfiguration = (
  shape: FleetShape,
  revision: number,
  zonesOutOfService: readonly string[],
): Configuration => {
  const targets = shape.services.flatMap(({ name }) =>
    shape.zones.flatMap((availabilityZone) =>
      Array.from({ length: shape.targetsPerZone }, (_, index) => ({
        targetId: `${name}-${availabilityZone}-${index + 1}`,
        service: name,
        availabilityZone,
      })),
    ),
  );
  return {
    revision,
    availabilityZones: shape.zones.map((name) => ({
      name,
      state: zonesOutOfService.includes(name) ? ZoneState.OutOfService : ZoneState.InService,
    })),
    services: shape.services,
    targets: targets.map((target, index) => ({
      ...target,
      sidecarHost: EMULATED_HOST,
      sidecarPort: FIRST_PORT + index,
      concurrency: shape.concurrency,
      coldConcurrency: shape.coldConcurrency,
    })),
    organisations: shape.organisations.map((organisationId) => ({
      organisationId,
      credentialSha256: createHash('sha256').update(organisationId).digest('hex'),
      maxInProgress: MAX_IN_PROGRESS,
      weight: 1,
    })),
    groups: [],
  };
};
