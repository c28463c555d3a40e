/** @module Assembles the services of a rank agent, the process that runs beside an engine. */
import {
  membersRegistration,
  type AnyRegistration,
  type Member,
  type Runtime,
} from '@ebonysill/gateway';
import { groupDriverRegistration } from './group-driver-service.js';
import { rankMonitorRegistration } from './rank-monitor-service.js';

/** Options of the services of one agent. */
export interface AgentOptions {
  readonly runtime: Runtime;
  readonly self: Member;
  /** IP address and port of the engine beside this process. */
  readonly engineAddress: string;
  /** IP addresses and ports of the peers that get a hello message at start. */
  readonly seeds: readonly string[];
}

/**
 * Returns the registrations from which the kernel creates an agent's services.
 *
 * @example
 * Kernel.create({ services: createAgentServices(options), nowMs, perform, onDrained, onFatalError });
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
