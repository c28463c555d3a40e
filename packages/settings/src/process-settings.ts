/** @module Schemas of the settings files of entry processes and sidecars. */
import * as z from 'zod';
import { ipField, nameField, portField, urlField } from './fields.js';

const logLevelField = z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info');

/** Secret shared by all processes of the fleet, with which they authenticate links. */
const linkSecretField = z.string().min(16, 'expected at least 16 characters').max(256);

const seedField = z.strictObject({ targetId: nameField, host: ipField, port: portField });

/** Room for the default number of requests in progress. */
const DEFAULT_MEMORY_MB = 256;

const DEFAULT_DESCRIPTOR_COUNT = 8_192;

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
  processId: nameField,
  availabilityZone: nameField,
  host: ipField,
  callerPort: portField,
  adminPort: portField,
  configurationUrl: urlField,
  readsConfiguration: z.boolean().default(true),
  maxInProgress: z.int().min(1).default(4_000),
  /** Memory of the host, which bounds what callers make the process keep. */
  memoryMb: z.number().positive().default(DEFAULT_MEMORY_MB),
  /** Descriptors that the host lets the process open. */
  fileDescriptors: z.int().positive().default(DEFAULT_DESCRIPTOR_COUNT),
  seedSidecars: z.array(seedField).default([]),
  linkSecret: linkSecretField,
  logLevel: logLevelField,
});

/** Validated settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings of a sidecar. */
export const sidecarSettingsSchema = z.strictObject({
  targetId: nameField,
  availabilityZone: nameField,
  host: ipField,
  linkPort: portField,
  adminPort: portField,
  targetUrl: urlField,
  linkSecret: linkSecretField,
  logLevel: logLevelField,
});

/** Validated settings of a sidecar. */
export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
