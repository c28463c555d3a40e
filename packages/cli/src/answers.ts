/** @module The operators' questionnaire: what they run, where, and what may be repeated. */
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
  /** Whether an engine can go on after text that another one wrote. */
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
  /** Calls besides GET and HEAD that may be repeated without harm. */
  idempotentCalls: z.array(idempotentCallSchema),
  /** Whether every target refuses to run one idempotency key twice, also after a restart. */
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

/** Shape of the answers file. */
export const answersSchema = z.strictObject({
  deployment: z.string().min(1),
  availabilityZones: z.array(nameField).min(1),
  models: z.array(modelSchema),
  plainServices: z.array(plainSchema),
  organisations: z.array(organisationAnswerSchema).min(1),
});

/** Checked answers. */
export type Answers = z.infer<typeof answersSchema>;
