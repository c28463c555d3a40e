/**
 * @module Plan of a demo fleet with one model service and one plain service, and its configuration.
 */
import {
  Continuation,
  DuplicateCheck,
  ServiceKind,
  ZoneState,
  type Configuration,
} from '@ebonysill/core';
import { credentialDigest } from '@ebonysill/settings';

/** Size of a demo fleet. */
export interface FleetPlan {
  readonly zones: readonly string[];
  readonly modelTargetsPerZone: number;
  readonly plainTargetsPerZone: number;
  readonly organisations: readonly string[];
  readonly tokenIntervalMs: number;
  /** Memory of the host of an entry process; that of its settings by default. */
  readonly entryMemoryMb?: number;
  /** Time that a plain target holds a call before it runs; 0 by default. */
  readonly holdMs?: number;
}

export interface PlannedTarget {
  readonly targetId: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly kind: ServiceKind;
}

/** A planned target with the port on which its sidecar listens. */
export interface PlacedTarget extends PlannedTarget {
  readonly sidecarPort: number;
}

export const MODEL_SERVICE = 'listing-writer';

export const PLAIN_SERVICE = 'bookings';

const MODEL_CONCURRENCY = 512;

const PLAIN_CONCURRENCY = 64;

const MAX_IN_PROGRESS = 2_000;

const MODEL_DEADLINE_MS = 60_000;

const PLAIN_DEADLINE_MS = 10_000;

/**
 * Credential of an organisation in the demo.
 *
 * @example
 * credentialOf('kochi-tea'); // 'demo-credential-kochi-tea'
 */
export const credentialOf = (organisationId: string): string => `demo-credential-${organisationId}`;

/**
 * Targets of both services in every zone of a plan.
 *
 * @example
 * planTargets(plan).map(({ targetId }) => targetId);
 */
export const planTargets = (plan: FleetPlan): readonly PlannedTarget[] =>
  plan.zones.flatMap((availabilityZone) => {
    const targets = (service: string, kind: ServiceKind, count: number): PlannedTarget[] =>
      Array.from({ length: count }, (_, index) => ({
        targetId: `${service}-${availabilityZone}-${index + 1}`,
        service,
        availabilityZone,
        kind,
      }));
    return [
      ...targets(MODEL_SERVICE, ServiceKind.Model, plan.modelTargetsPerZone),
      ...targets(PLAIN_SERVICE, ServiceKind.Plain, plan.plainTargetsPerZone),
    ];
  });

/**
 * Configuration for a plan whose sidecars already listen.
 *
 * @example
 * buildConfiguration(plan, placedTargets, 1);
 */
export const buildConfiguration = (
  plan: FleetPlan,
  targets: readonly PlacedTarget[],
  revision: number,
): Configuration => ({
  revision,
  availabilityZones: plan.zones.map((name) => ({ name, state: ZoneState.InService })),
  services: [
    {
      name: MODEL_SERVICE,
      kind: ServiceKind.Model,
      continuation: Continuation.Resume,
      duplicateCheck: DuplicateCheck.None,
      idempotentCalls: [],
      deadlineMs: MODEL_DEADLINE_MS,
    },
    {
      name: PLAIN_SERVICE,
      kind: ServiceKind.Plain,
      continuation: Continuation.DeterministicRestart,
      duplicateCheck: DuplicateCheck.None,
      idempotentCalls: [{ method: 'POST', pathPrefix: '/search' }],
      deadlineMs: PLAIN_DEADLINE_MS,
    },
  ],
  targets: targets.map(({ targetId, service, availabilityZone, kind, sidecarPort }) => ({
    targetId,
    service,
    availabilityZone,
    sidecarHost: '127.0.0.1',
    sidecarPort,
    concurrency: kind === ServiceKind.Model ? MODEL_CONCURRENCY : PLAIN_CONCURRENCY,
    coldConcurrency: 2,
  })),
  organisations: plan.organisations.map((organisationId) => ({
    organisationId,
    credentialSha256: credentialDigest(credentialOf(organisationId)),
    maxInProgress: MAX_IN_PROGRESS,
    weight: 1,
  })),
  groups: [],
});
