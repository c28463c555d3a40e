/** @module Validates messages from other processes. */
import {
  MAX_REPORTED_REFUSALS,
  PeerMessageKind,
  PeerRole,
  type PeerMessage,
} from '@ebonysill/gateway';
import * as z from 'zod';

const member = z.object({
  name: z.string(),
  role: z.enum(PeerRole),
  address: z.string(),
  availabilityZone: z.string(),
  serviceName: z.string().optional(),
  groupName: z.string().optional(),
});

const numberLists = z.array(z.array(z.number()));

const placement = z.array(numberLists);

const report = z.object({
  groupName: z.string(),
  epoch: z.number(),
  rank: z.number(),
  rankCount: z.number(),
  isOpen: z.boolean(),
  step: z.number(),
  mapVersion: z.number(),
  preparedVersion: z.number(),
  armedVersion: z.number(),
  heldStep: z.number(),
  runningCount: z.number(),
  waitingCount: z.number(),
  pace: z.number(),
});

const group = { groupName: z.string(), epoch: z.number() };

const segments = z.array(z.string());

const answers = z.array(z.object({ segment: z.string(), ageMs: z.number() }));

const crashes = z.array(
  z.object({ instanceId: z.string(), ageMs: z.number(), fingerprint: z.string(), segments }),
);

const refusal = z.object({
  digest: z.number(),
  service: z.string().optional(),
  localCount: z.number().nonnegative(),
  dueInMs: z.number(),
  expiresInMs: z.number(),
});

const targetCount = {
  instanceId: z.string(),
  count: z.number(),
  // Gateways of earlier versions report no work.
  workTokens: z.int().nonnegative().optional(),
  longCount: z.int().nonnegative().optional(),
};

/** Loads as lists, see `encodePeerMessage`; gateways of earlier versions send them as objects. */
const listedCount = z.union([
  z.tuple([z.string(), z.number()]).transform(([instanceId, count]) => ({ instanceId, count })),
  z
    .tuple([z.string(), z.number(), z.int().nonnegative().nullable(), z.int().nonnegative()])
    .transform(([instanceId, count, workTokens, longCount]) => ({
      instanceId,
      count,
      ...(workTokens === null ? {} : { workTokens }),
      ...(longCount === 0 ? {} : { longCount }),
    })),
  z.object(targetCount),
]);

const schema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(PeerMessageKind.Hello),
    member,
    knownDigest: z.number().optional(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.Members),
    members: z.array(member),
    digest: z.number(),
  }),
  z.object({ kind: z.literal(PeerMessageKind.MembersUnchanged), digest: z.number() }),
  z.object({
    kind: z.literal(PeerMessageKind.EngineLimits),
    placesPerRank: z.number(),
    spareCapacity: z.number(),
    expertCopyMs: z.number(),
  }),
  z.object({ kind: z.literal(PeerMessageKind.FindTargets), serviceName: z.string() }),
  z.object({
    kind: z.literal(PeerMessageKind.TargetAddresses),
    addresses: z.array(z.string()),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.GroupTargets),
    groupName: z.string(),
    addresses: z.array(z.string()),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.Load),
    counts: z.array(listedCount),
    // Gateways of earlier versions report no passes.
    passes: z.array(z.object({ pool: z.string(), passMs: z.number() })).default([]),
    copyAgeMs: z.number().nonnegative().optional(),
    rates: z
      .array(z.object({ pool: z.string(), endsPerSecond: z.number().nonnegative() }))
      .optional(),
    refusals: z.array(refusal).max(MAX_REPORTED_REFUSALS).optional(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.LoadChange),
    ...targetCount,
    ended: z.array(listedCount).optional(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.CrashReport),
    fingerprint: z.string(),
    instanceId: z.string(),
    // Gateways of earlier versions report no segments.
    segments: segments.default([]),
    answers: answers.default([]),
  }),
  z.object({ kind: z.literal(PeerMessageKind.Suspects), crashes, answers }),
  z.object({ kind: z.literal(PeerMessageKind.QuerySuspects) }),
  z.object({
    kind: z.literal(PeerMessageKind.TargetNotices),
    limits: z.array(
      z.object({
        instanceId: z.string(),
        ageMs: z.number().nonnegative(),
        maxRequestsPerSecond: z.number().nonnegative().optional(),
      }),
    ),
    leaving: z.array(z.object({ instanceId: z.string(), startedAtMs: z.number().optional() })),
    // Gateways of earlier versions report no pauses.
    pauses: z
      .array(
        z.object({
          gatewayAddress: z.string(),
          instanceId: z.string(),
          remainingMs: z.number().nonnegative(),
        }),
      )
      .default([]),
  }),
  z.object({ kind: z.literal(PeerMessageKind.QueryStartState) }),
  z.object({
    kind: z.literal(PeerMessageKind.StartState),
    isStarting: z.boolean(),
    version: z.int().nonnegative(),
    era: z.number().optional(),
    spentRetries: z.array(z.object({ serviceName: z.string(), count: z.number().nonnegative() })),
    coldStarts: z.array(z.object({ instanceId: z.string(), count: z.number().nonnegative() })),
  }),
  z.object({
    kind: z.enum([PeerMessageKind.RankState, PeerMessageKind.HoldConfirmed]),
    report,
    // Agents of earlier versions report no age.
    ageMs: z.number().nonnegative().default(0),
    engineAddress: z.string(),
  }),
  z.object({ kind: z.literal(PeerMessageKind.QueryState), groupName: z.string() }),
  z.object({
    kind: z.literal(PeerMessageKind.RankCountDelta),
    groupName: z.string(),
    rank: z.number(),
    increase: z.object({
      counts: numberLists,
      unit: z.number(),
      mapVersion: z.number(),
      experts: numberLists,
    }),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.PrepareMap),
    ...group,
    version: z.number(),
    placement,
  }),
  z.object({
    kind: z.enum([
      PeerMessageKind.HoldStep,
      PeerMessageKind.ReleaseStep,
      PeerMessageKind.ConfirmHold,
    ]),
    ...group,
    step: z.number(),
  }),
  z.object({
    kind: z.literal(PeerMessageKind.ArmMap),
    ...group,
    version: z.number(),
    step: z.number(),
  }),
  z.object({ kind: z.literal(PeerMessageKind.DisarmMap), ...group, version: z.number() }),
]);

/**
 * Validates a decoded message; returns undefined when it does not match the schema.
 *
 * @example
 * parsePeerMessage(unpack(datagram))?.kind;
 */
const parsePeerMessage = (value: unknown): PeerMessage | undefined => {
  const result = schema.safeParse(value);
  return result.success ? (result.data as PeerMessage) : undefined;
};

export default parsePeerMessage;
