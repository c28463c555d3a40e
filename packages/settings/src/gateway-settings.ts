/** @module Schemas of the settings files of gateways and rank agents. */
import * as z from 'zod';
import { ipField, nameField, portField } from './fields.js';

const addressField = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected an IP number and a port');

const peerFields = {
  processName: nameField,
  availabilityZone: nameField,
  host: ipField,
  /** UDP port for datagrams between the processes of the system, the same on all hosts. */
  peerPort: portField,
  /** First processes to contact, which may be down; only the IP addresses are used. */
  seedAddresses: z.array(addressField),
};

/** Of the smallest host of the deployments; holds on every host that names nothing. */
const SMALLEST_MEMORY_MB = 202;

const SMALLEST_DESCRIPTOR_COUNT = 2_069;

/** Ordinary callers send their bodies whole; a slow link moves 1 KiB in far less. */
const DEFAULT_BODY_TIMEOUT_SECONDS = 10;

/** A positive number as text; any other text, such as a placeholder left as it is, means the default. */
const positiveTextField = (defaultValue: number): z.ZodType<number> =>
  z
    .string()
    .default('')
    .transform((text) => (Number(text) > 0 ? Number(text) : defaultValue));

const DEFAULT_DRAIN_TIMEOUT_MS = 2_000;

const DEFAULT_HEARTBEAT_INTERVAL_MS = 1_200;

/** Settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
  ...peerFields,
  callerAddress: addressField,
  readinessAddress: addressField,
  metricsPort: portField,
  storeAddress: addressField,
  /** Time between the signal to stop and the signal that kills the process. */
  graceSeconds: z.number().positive(),
  /** Time within which a target that has left gets no further requests. */
  drainTimeoutMs: z.number().positive().default(DEFAULT_DRAIN_TIMEOUT_MS),
  /** Interval at which targets renew their entries in the store. */
  heartbeatIntervalMs: positiveTextField(DEFAULT_HEARTBEAT_INTERVAL_MS),
  retryBudget: z.strictObject({
    ratio: z.number().min(0),
    windowSeconds: z.number().positive(),
    extraCount: z.number().min(0),
  }),
  /** Memory of the host. */
  memoryMb: positiveTextField(SMALLEST_MEMORY_MB),
  /** Descriptors that the host lets the process open. */
  fileDescriptors: positiveTextField(SMALLEST_DESCRIPTOR_COUNT),
  /** Time in which an unfinished body of a caller must make progress. */
  bodyTimeoutSeconds: z.number().positive().default(DEFAULT_BODY_TIMEOUT_SECONDS),
  /** What the deployment asks for, in its platform's words, separated by commas; others are ignored. */
  features: z
    .string()
    .default('')
    .transform((words) => words.split(',')),
});

/** Validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Settings of a rank agent, the process that runs next to a rank. */
export const rankAgentSettingsSchema = z.strictObject({
  ...peerFields,
  metricsPort: portField,
  /** Service to which the engine of the rank belongs. */
  serviceName: nameField,
  /** IPv4 address and port of the engine of the rank. */
  engineAddress: addressField,
});

/** Validated settings of a rank agent. */
export type RankAgentSettings = z.infer<typeof rankAgentSettingsSchema>;
