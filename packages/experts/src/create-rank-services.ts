/** @module Assembles the services of a rank sidecar, the process that runs beside a rank. */
import { ProcessRole, generateId, type AnyRegistration, type Runtime } from '@ebonysill/core';
import {
  configurationRegistration,
  linksRegistration,
  suspectsRegistration,
} from '@ebonysill/fleet';
import {
  everyRank,
  groupDriverRegistration,
  type QuorumRule,
  type Propose,
} from './group-driver-service.js';
import { holdUndecided, rankGateRegistration, type HoldRule } from './rank-gate-service.js';

/** Options of the services beside one rank. */
export interface RankOptions {
  readonly runtime: Runtime;
  readonly rankId: string;
  readonly availabilityZone: string;
  /** Whether this process reads the configuration service. */
  readonly isReader: boolean;
  readonly propose: Propose;
  /** Rules of the gate and the driver; others than the defaults are known to be unsafe. */
  readonly mustHold?: HoldRule;
  readonly waitsAfterRestart?: boolean;
  readonly hasQuorum?: QuorumRule;
}

/**
 * Lists the registrations of the services beside a rank.
 *
 * @example
 * Kernel.create({ services: createRankServices(options), nowMs, perform, onDrained, onFatalError });
 */
export const createRankServices = (options: RankOptions): readonly AnyRegistration[] => {
  const { runtime, rankId, availabilityZone, isReader, propose } = options;
  const { mustHold = holdUndecided, waitsAfterRestart = true, hasQuorum = everyRank } = options;
  return [
    configurationRegistration({ runtime, isReader }),
    suspectsRegistration({ runtime }),
    linksRegistration({
      runtime,
      processId: rankId,
      incarnation: generateId(runtime.random),
      role: ProcessRole.RankSidecar,
      availabilityZone,
      seeds: [],
    }),
    rankGateRegistration({ mustHold, waitsAfterRestart }),
    groupDriverRegistration({ runtime, rankId, propose, hasQuorum }),
  ];
};
