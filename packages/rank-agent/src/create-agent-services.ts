/** @module The services that make up the agent beside a rank. */
import {
  membersRegistration,
  type AnyRegistration,
  type Member,
  type Runtime,
} from '@ebonysill/gateway';
import { groupDriverRegistration } from './group-driver-service.js';
import { rankMonitorRegistration } from './rank-monitor-service.js';

/** What an agent is created from. */
export interface AgentOptions {
  readonly runtime: Runtime;
  readonly self: Member;
  /** IP address and port of the engine beside this process. */
  readonly engineAddress: string;
  /** Addresses of processes to greet first. */
  readonly seeds: readonly string[];
}

/**
 * Lists the registrations of an agent's services.
 *
 * @example
 * Kernel.create({ services: createAgentServices(options), nowMs, perform, onDrained, onBroken });
 */
export const createAgentServices = ({
  runtime,
  self,
  engineAddress,
  seeds,
}: AgentOptions): readonly AnyRegistration[] => [
  membersRegistration({ runtime, self, seeds }),
  rankMonitorRegistration({ runtime, engineAddress }),
  groupDriverRegistration({ runtime, engineAddress }),
];
