/** @module Settings files of gateways and of the agents beside ranks. */
import * as z from 'zod';
import { ipField, nameField, portField } from './fields.js';

const addressField = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected an IP number and a port');

const peerFields = {
  processName: nameField,
  availabilityZone: nameField,
  host: ipField,
  /** Port on which the processes of the system send each other datagrams, the same on all hosts. */
  peerPort: portField,
  /** Processes to greet first; only their IP numbers count, and they may be down. */
  seedAddresses: z.array(addressField),
};

/** Settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
  ...peerFields,
  callerAddress: addressField,
  readinessAddress: addressField,
  metricsPort: portField,
  storeAddress: addressField,
  /** Time between the order to stop and the kill. */
  graceSeconds: z.number().positive(),
  retryBudget: z.strictObject({
    ratio: z.number().min(0),
    windowSeconds: z.number().positive(),
    extraCount: z.number().min(0),
  }),
});

/** Checked settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Settings of the agent beside a rank. */
export const rankAgentSettingsSchema = z.strictObject({
  ...peerFields,
  metricsPort: portField,
  /** Service of the engine beside this process. */
  serviceName: nameField,
  /** The engine beside this process. */
  engineAddress: addressField,
});

/** Checked settings of the agent beside a rank. */
export type RankAgentSettings = z.infer<typeof rankAgentSettingsSchema>;
