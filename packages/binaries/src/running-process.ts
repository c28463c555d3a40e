/** @module Starts, drains and stops a process, whether entry process or sidecar. */
import { ProcessRole, ServiceName, type FindService, type LoadReport } from '@ebonysill/core';
import {
  AdminServer,
  BurnMeter,
  DecisionLog,
  DropCounters,
  Listener,
  LogPort,
  ProcessHost,
  systemRuntime,
  type ProcessHostOptions,
} from '@ebonysill/transport';

/** Handle of a running process. */
export interface RunningProcess<TAddresses> {
  readonly addresses: TAddresses;
  /** Refuses new work, waits until all requests in progress have ended, and stops. */
  readonly drain: () => Promise<void>;
  /** Stops at once, without draining. */
  readonly stop: () => void;
}

/** Identity, addresses and role-specific options of a process. */
export interface ProcessOptions {
  readonly processId: string;
  readonly role: ProcessRole;
  readonly availabilityZone: string;
  readonly host: string;
  readonly adminPort: number;
  readonly logLevel: string;
  /** Secret shared by all processes of the fleet. */
  readonly linkSecret: string;
  /** Services and ports of the role. */
  readonly roleOptions: Pick<
    ProcessHostOptions,
    'createServices' | 'createCallerPort' | 'createTargetPort' | 'createConfigurationPort'
  >;
  /** Opens the role's own listening socket; resolves with its port. */
  readonly listen: (process: ProcessHost) => Promise<number>;
}

/** Ports that a process listens on. */
export interface ProcessAddresses {
  readonly servingPort: number;
  readonly adminPort: number;
}

const loadOf = (role: ProcessRole, find: FindService): LoadReport | undefined =>
  role === ProcessRole.Sidecar ? find(ServiceName.Execution).load() : undefined;

const createAdminServer = (
  options: ProcessOptions,
  process: ProcessHost,
  decisionLog: DecisionLog,
  burnMeter: BurnMeter,
  drops: DropCounters,
): AdminServer =>
  AdminServer.create(
    {
      readStatus: () => ({
        processId: options.processId,
        role: options.role,
        availabilityZone: options.availabilityZone,
        revision: process.find(ServiceName.Configuration).revision(),
        load: loadOf(options.role, process.find),
        peers: process.find(ServiceName.Links).peers(),
        residentBytes: globalThis.process.memoryUsage.rss(),
        uptimeMs: globalThis.process.uptime() * 1_000,
      }),
      explain: (requestId) => decisionLog.explain(requestId),
      readBurn: () => burnMeter.report(),
      readDrops: () => drops.report(),
    },
    undefined,
    drops.recorderOf(Listener.Operators),
  );

/**
 * Starts a process of one role.
 *
 * @example
 * const running = await startProcess({ processId, role, availabilityZone, host, adminPort, logLevel, linkSecret, roleOptions, listen });
 */
export const startProcess = async (
  options: ProcessOptions,
): Promise<RunningProcess<ProcessAddresses>> => {
  const logPort = LogPort.create(options.processId, options.logLevel);
  const decisionLog = DecisionLog.create(systemRuntime.nowMs);
  const burnMeter = BurnMeter.create(systemRuntime.nowMs);
  const drops = DropCounters.create((line) => logPort.writeDropped(line));
  let onDrained = (): void => undefined;
  const drained = new Promise<void>((resolve) => {
    onDrained = resolve;
  });
  const process = ProcessHost.create({
    ...options.roleOptions,
    linkSecret: options.linkSecret,
    onLog: (effect) => {
      logPort.write(effect);
      decisionLog.record(effect);
      burnMeter.record(effect);
    },
    recorderOf: (listener) => drops.recorderOf(listener),
    onDrained: () => onDrained(),
    onFatalError: (error) => {
      logPort.fatal(error);
      globalThis.process.exitCode = 1;
      process.shutdown();
    },
  });
  process.start();
  const admin = createAdminServer(options, process, decisionLog, burnMeter, drops);
  const servingPort = await options.listen(process);
  const adminPort = await admin.listen(options.host, options.adminPort);
  const stop = (): void => {
    admin.shutdown();
    process.shutdown();
  };
  return {
    addresses: { servingPort, adminPort },
    drain: async () => {
      process.drain();
      await drained;
      await process.flushCallers();
      stop();
    },
    stop,
  };
};
