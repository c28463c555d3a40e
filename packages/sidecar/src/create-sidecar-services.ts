/** @module The services that make up a sidecar. */
import { ProcessRole, generateId, type AnyRegistration, type Runtime } from '@ebonysill/core';
import {
  configurationRegistration,
  linksRegistration,
  suspectsRegistration,
  type SeedSidecar,
} from '@ebonysill/fleet';
import { executionRegistration } from './execution-service.js';
import {
  DEFAULT_KEY_LEDGER_LIMITS,
  keyLedgerRegistration,
  type KeyLedgerLimits,
} from './key-ledger-service.js';
import keyedExecutionRegistration from './keyedExecutionRegistration.js';
import { targetMonitorRegistration } from './target-monitor-service.js';

/** Identity, limits and dependencies of a sidecar. */
export interface SidecarOptions {
  readonly runtime: Runtime;
  readonly targetId: string;
  readonly availabilityZone: string;
  /** Bounds of the key ledger; {@link DEFAULT_KEY_LEDGER_LIMITS} by default. */
  readonly ledgerLimits?: KeyLedgerLimits;
}

const NO_SEEDS: readonly SeedSidecar[] = [];

/**
 * Lists the registrations of a sidecar's services.
 *
 * @example
 * Kernel.create({ services: createSidecarServices(options), nowMs, perform, onDrained, onFatalError });
 */
export const createSidecarServices = (options: SidecarOptions): readonly AnyRegistration[] => {
  const { runtime, targetId, availabilityZone } = options;
  const incarnation = generateId(runtime.random);
  const secret = generateId(runtime.random) + generateId(runtime.random);
  return [
    configurationRegistration({ runtime, isReader: false }),
    suspectsRegistration({ runtime }),
    linksRegistration({
      runtime,
      processId: targetId,
      incarnation,
      role: ProcessRole.Sidecar,
      availabilityZone,
      seeds: NO_SEEDS,
    }),
    keyLedgerRegistration({
      runtime,
      issuer: { targetId, incarnation, secret },
      limits: options.ledgerLimits ?? DEFAULT_KEY_LEDGER_LIMITS,
    }),
    targetMonitorRegistration({ targetId }),
    executionRegistration({ runtime, targetId }),
    keyedExecutionRegistration(),
  ];
};
