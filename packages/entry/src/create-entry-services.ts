/** @module The services that make up an entry process. */
import { ProcessRole, generateId, type AnyRegistration, type Runtime } from '@ebonysill/core';
import {
  configurationRegistration,
  linksRegistration,
  suspectsRegistration,
  type SeedSidecar,
} from '@ebonysill/fleet';
import { admissionRegistration } from './admission-service.js';
import { chooseCheapest, type ChooseTarget } from './choose-target.js';
import { idempotentCallsRegistration } from './idempotent-calls-service.js';
import { intakeRegistration } from './intake-service.js';
import { keyedCallsRegistration } from './keyed-calls-service.js';
import { routingRegistration } from './routing-service.js';

/** Identity, limits and dependencies of an entry process. */
export interface EntryOptions {
  readonly runtime: Runtime;
  readonly processId: string;
  readonly availabilityZone: string;
  /** Whether this process reads the configuration service; if not, it gets revisions over links. */
  readonly isReader: boolean;
  /** Maximum number of requests in progress in this process; further requests are queued. */
  readonly maxInProgress: number;
  /** Sidecars to get the configuration from while the configuration service is down. */
  readonly seeds: readonly SeedSidecar[];
  /** Load-balancing policy; {@link chooseCheapest} by default. */
  readonly chooseTarget?: ChooseTarget;
}

/**
 * Lists the registrations of an entry process's services.
 *
 * @example
 * Kernel.create({ services: createEntryServices(options), nowMs, perform, onDrained, onFatalError });
 */
export const createEntryServices = (options: EntryOptions): readonly AnyRegistration[] => {
  const { runtime, processId, availabilityZone, maxInProgress, seeds } = options;
  const { chooseTarget = chooseCheapest } = options;
  return [
    configurationRegistration({ runtime, isReader: options.isReader }),
    suspectsRegistration({ runtime }),
    linksRegistration({
      runtime,
      processId,
      incarnation: generateId(runtime.random),
      role: ProcessRole.Entry,
      availabilityZone,
      seeds,
    }),
    admissionRegistration({ runtime, maxInProgress }),
    routingRegistration({ runtime, processId, availabilityZone, chooseTarget }),
    idempotentCallsRegistration({ runtime }),
    keyedCallsRegistration({ runtime }),
    intakeRegistration({ runtime }),
  ];
};
