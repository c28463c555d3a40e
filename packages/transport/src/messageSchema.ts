/** @module Schema that received messages from other processes are checked against. */
import {
  ChangeState,
  Continuation,
  DuplicateCheck,
  MessageKind,
  Outcome,
  ProcessRole,
  Reason,
  ServiceKind,
  TargetState,
  ZoneState,
  type Message,
} from '@ebonysill/core';
import { z } from 'zod';

const MAX_ID_CHARS = 256;

const id = z.string().max(MAX_ID_CHARS);

const count = z.int().min(0);

const load = z.object({
  targetId: id,
  state: z.enum(TargetState),
  runningCount: count,
  waitingCount: count,
  limit: count,
});

const suspicions = z.array(z.object({ fingerprint: id, crashCount: count }));

const problem = z.object({
  outcome: z.enum(Outcome),
  reason: z.enum(Reason),
  detail: z.string(),
});

const request = z.object({
  service: id,
  method: id,
  path: z.string(),
  contentType: id,
  body: z.string(),
});

const zone = z.object({ name: id, state: z.enum(ZoneState) });

const service = z.object({
  name: id,
  kind: z.enum(ServiceKind),
  continuation: z.enum(Continuation),
  duplicateCheck: z.enum(DuplicateCheck),
  idempotentCalls: z.array(z.object({ method: id, pathPrefix: z.string() })),
  deadlineMs: count,
});

const target = z.object({
  targetId: id,
  service: id,
  availabilityZone: id,
  sidecarHost: id,
  sidecarPort: count,
  concurrency: count,
  coldConcurrency: count,
});

const organisation = z.object({
  organisationId: id,
  credentialSha256: id,
  maxInProgress: count,
  weight: z.number(),
});

const group = z.object({
  groupId: id,
  ranks: z.array(z.object({ rankId: id, sidecarHost: id, sidecarPort: count })),
});

const configuration = z.object({
  revision: count,
  availabilityZones: z.array(zone),
  services: z.array(service),
  targets: z.array(target),
  organisations: z.array(organisation),
  groups: z.array(group),
});

const listDelta = <TItem extends z.ZodType>(item: TItem) =>
  z.object({ upserts: z.array(item), removedIds: z.array(id) });

const delta = z.object({
  baseRevision: count,
  revision: count,
  availabilityZones: listDelta(zone),
  services: listDelta(service),
  targets: listDelta(target),
  organisations: listDelta(organisation),
  groups: listDelta(group),
});

const map = z.object({ mapId: count, layers: z.array(z.array(z.array(count))) });

const change = z.object({ map, atStep: count });

const gate = z.object({
  state: z.enum(ChangeState),
  change: z.union([change, z.undefined()]),
  current: map,
  lastStep: z.int(),
});

const heartbeatFields = {
  revision: count,
  load: load.exactOptional(),
  suspicions: suspicions.exactOptional(),
};

const runFields = {
  kind: z.literal(MessageKind.Run),
  runId: id,
  requestId: id,
  organisationId: id,
  request,
  key: id.exactOptional(),
  timeLeftMs: z.number().min(0),
  priority: z.int(),
  fingerprint: id,
  crashCount: count,
  deliveredCount: count,
  continuation: z.enum(Continuation),
  deliveredText: z.string().exactOptional(),
};

/** Schema of any message between processes. */
const messageSchema: z.ZodType<Message> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(MessageKind.RunChunk), runId: id, sequence: count, data: z.string() }),
  z.object({
    kind: z.literal(MessageKind.Hello),
    processId: id,
    incarnation: id,
    role: z.enum(ProcessRole),
    availabilityZone: id,
    revision: count,
  }),
  z.object({ kind: z.literal(MessageKind.Heartbeat), ...heartbeatFields }),
  z.object({ kind: z.literal(MessageKind.HeartbeatAck), ...heartbeatFields }),
  z.object({ kind: z.literal(MessageKind.ConfigurationRequest), heldRevision: count }),
  z.object({ kind: z.literal(MessageKind.ConfigurationChange), delta }),
  z.object({ kind: z.literal(MessageKind.ConfigurationValue), configuration }),
  z.object({ kind: z.literal(MessageKind.MintKey), runId: id, organisationId: id }),
  z.object({ kind: z.literal(MessageKind.KeyMinted), runId: id, key: id }),
  z.object({ kind: z.literal(MessageKind.KeyRefused), runId: id, problem }),
  z.object(runFields),
  z.object({ kind: z.literal(MessageKind.Tombstone), runId: id, organisationId: id, key: id }),
  z.object({ kind: z.literal(MessageKind.Cancel), runId: id }),
  z.object({ kind: z.literal(MessageKind.Credit), runId: id, chunkCount: count }),
  z.object({ kind: z.literal(MessageKind.RunHead), runId: id, status: count, contentType: id }),
  z.object({
    kind: z.literal(MessageKind.RunEnd),
    runId: id,
    chunkCount: count,
    load: load.exactOptional(),
  }),
  z.object({
    kind: z.literal(MessageKind.RunFailed),
    runId: id,
    problem,
    load: load.exactOptional(),
    suspicions: suspicions.exactOptional(),
  }),
  z.object({ kind: z.literal(MessageKind.MapQuery), fence: count }),
  z.object({ kind: z.literal(MessageKind.MapState), fence: count, gate }),
  z.object({ kind: z.literal(MessageKind.MapPrepare), fence: count, change }),
  z.object({ kind: z.literal(MessageKind.MapPrepared), fence: count }),
  z.object({
    kind: z.literal(MessageKind.MapDecide),
    fence: count,
    change: change.exactOptional(),
  }),
  z.object({ kind: z.literal(MessageKind.MapDecided), fence: count }),
  z.object({ kind: z.literal(MessageKind.MapRefused), fence: count, promisedFence: count }),
  z.object({ kind: z.literal(MessageKind.ExpertCounts), counts: z.array(z.array(count)) }),
]);

export default messageSchema;
