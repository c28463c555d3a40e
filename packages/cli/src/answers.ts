/** @module Schema of the operators' answers: what they run, where, and what may be repeated. */
import { z } from 'zod';

const nameField = z.string().regex(/^[\w-]{1,64}$/, 'expected 1 to 64 letters, digits, "-" or "_"');

const targetAnswerSchema = z.strictObject({
  targetId: nameField,
  availabilityZone: nameField,
  sidecarHost: z.union([z.ipv4(), z.ipv6()], 'expected an IP number'),
  sidecarPort: z.int().min(1).max(65_535),
});

const idempotentCallSchema = z.strictObject({
  method: z.string().regex(/^[A-Z]{1,16}$/, 'expected an HTTP method in capitals'),
  pathPrefix: z.string().startsWith('/'),
});

const modelSchema = z.strictObject({
  name: nameField,
  /** Whether an engine can continue an answer that another engine began. */
  enginesResume: z.boolean(),
  /** Whether the same request always gets the same answer. */
  isDeterministic: z.boolean(),
  requestsAtOnce: z.int().min(1),
  requestsAtOnceWhenCold: z.int().min(1),
  answerWithinMs: z.int().min(1),
  targets: z.array(targetAnswerSchema).min(1),
});

const plainSchema = z.strictObject({
  name: nameField,
  /** Idempotent calls besides GET and HEAD. */
  idempotentCalls: z.array(idempotentCallSchema),
  /** Whether every target refuses to run an idempotency key twice, even after a restart. */
  targetsCheckKeys: z.boolean(),
  requestsAtOnce: z.int().min(1),
  answerWithinMs: z.int().min(1),
  targets: z.array(targetAnswerSchema).min(1),
});

const organisationAnswerSchema = z.strictObject({
  organisationId: nameField,
  credentialSha256: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hexadecimal'),
  isLarge: z.boolean(),
});

/** Schema of the answers file. */
export const answersSchema = z.strictObject({
  deployment: z.string().min(1),
  availabilityZones: z.array(nameField).min(1),
  models: z.array(modelSchema),
  plainServices: z.array(plainSchema),
  organisations: z.array(organisationAnswerSchema).min(1),
});

/** Answers that match the schema. */
export type Answers = z.infer<typeof answersSchema>;
