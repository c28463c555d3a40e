/** @module The services that make up a gateway. */
import {
  longPassShareOf,
  weighTarget,
  type DecideLongPassShare,
  type DecidePriority,
  type MeasureRequest,
  type QueueDecisions,
} from '@ebonysill/scheduling';
import { answerMemoryRegistration } from './answer-memory-service.js';
import { admissionRegistration } from './admission-service.js';
import { barByEvidence, type BarUntilMs } from './bar-suspects.js';
import { catalogueRegistration } from './catalogue-service.js';
import { chooseLeastLoaded, type ChooseTarget } from './choose-target.js';
import { admitByPass, type DecideAdmission } from './decide-admission.js';
import { decideByNotices, type DecideCall } from './decide-call.js';
import type { AnyRegistration } from './directory.js';
import { coldStartsRegistration } from './cold-starts-service.js';
import engineLimitsRegistration from './engineLimitsRegistration.js';
import { exchangesRegistration } from './exchanges-service.js';
import { groupsRegistration } from './groups-service.js';
import { copiesRegistration } from './intake/copies-service.js';
import { intakeRegistration } from './intake/intake-service.js';
import { returnsRegistration } from './intake/returns-service.js';
import { refusalsRegistration } from './intake/refusals-service.js';
import { throughputRegistration } from './intake/throughput-service.js';
import { waitingRegistration } from './intake/waiting-service.js';
import { isStalledBehindGroup, type IsStalled } from './is-stalled.js';
import { lifecycleRegistration } from './lifecycle-service.js';
import { StartAnnouncement, loadsRegistration } from './loads-service.js';
import { membersRegistration } from './members-service.js';
import { noticesRegistration } from './notices-service.js';
import { peerKnowledgeRegistration } from './peer-knowledge-service.js';
import type { Member } from './peer-message.js';
import { resultsRegistration } from './results-service.js';
import { retriesRegistration } from './retries-service.js';
import { retryBudgetRegistration, type RetryBudgetBound } from './retry-budget-service.js';
import type { Runtime } from './runtime.js';
import { routingRegistration } from './routing-service.js';
import { storeRegistration } from './store-service.js';
import { suspectsRegistration } from './suspects-service.js';
import { targetsRegistration } from './targets-service.js';
import { floorOfLivePeers, type DecideFloor } from './version-floor.js';

/** Settings and dependencies of a gateway. */
export interface GatewayOptions {
  readonly runtime: Runtime;
  readonly self: Member;
  /** Addresses of other processes that receive the first hellos. */
  readonly seeds: readonly string[];
  readonly retryBudget: RetryBudgetBound;
  /** Time between the signal to stop and the forced end of the process. */
  readonly graceMs: number;
  /** Time within which a target that has left gets no further requests. */
  readonly drainTimeoutMs: number;
  /** Interval at which targets renew their entries. */
  readonly heartbeatIntervalMs: number;
  /** Memory of all large answers together, from their targets to their callers. */
  readonly answerMemoryBytes: number;
  /** Chooses among several targets; by default the least loaded one. */
  readonly chooseTarget?: ChooseTarget;
  /** Decides whether a stream may start; by default by the duration of passes. */
  readonly decideAdmission?: DecideAdmission;
  /** Decides from which passes on they are long for a kind; by default by the published priorities. */
  readonly decideLongPassShare?: DecideLongPassShare;
  /** Decides whether a target may be called by what it said; by default does what it asks for. */
  readonly decideCall?: DecideCall;
  /** Decides how long requests are refused that may crash targets; by default by the evidence. */
  readonly barUntilMs?: BarUntilMs;
  /** Decides whether a stream is resumed elsewhere; by default when its group goes on without it. */
  readonly isStalled?: IsStalled;
  /** Decides which configuration is too old to serve; by default one below those of live peers. */
  readonly decideFloor?: DecideFloor;
  /** Determines the work of requests at engines; by default they are counted. */
  readonly measureRequest?: MeasureRequest;
  /** What other gateways are told when a request starts; by default the load of its target. */
  readonly startAnnouncement?: StartAnnouncement;
  /** Decides the priority of calls to targets; by default targets use their own. */
  readonly decidePriority?: DecidePriority;
  /** Decisions on requests that wait; by default none does. */
  readonly queueDecisions?: QueueDecisions;
}

/**
 * Returns the registrations from which the kernel creates a gateway's services.
 *
 * @example
 * Kernel.create({ services: createGatewayServices(options), nowMs, perform, onDrained, onFatalError });
 */
export const createGatewayServices = (options: GatewayOptions): readonly AnyRegistration[] => {
  const { runtime, self, seeds, retryBudget, graceMs, drainTimeoutMs, heartbeatIntervalMs } =
    options;
  const { chooseTarget = chooseLeastLoaded, decideAdmission = admitByPass } = options;
  const { isStalled = isStalledBehindGroup, barUntilMs = barByEvidence } = options;
  const { decideFloor = floorOfLivePeers, decideLongPassShare = longPassShareOf } = options;
  const { decideCall = decideByNotices, decidePriority, queueDecisions } = options;
  const { measureRequest } = options;
  const queueing = queueDecisions === undefined ? {} : { queueDecisions };
  const { startAnnouncement = StartAnnouncement.Target } = options;
  const { availabilityZone } = self;
  return [
    storeRegistration({ runtime }),
    catalogueRegistration({ runtime }),
    targetsRegistration({ runtime, drainTimeoutMs, heartbeatIntervalMs }),
    membersRegistration({ runtime, self, seeds }),
    loadsRegistration({ runtime, startAnnouncement }),
    groupsRegistration({ runtime }),
    suspectsRegistration({ runtime, barUntilMs }),
    engineLimitsRegistration(),
    admissionRegistration({ runtime, decide: decideAdmission, decideLongPassShare }),
    retryBudgetRegistration(runtime, retryBudget),
    coldStartsRegistration({ runtime }),
    noticesRegistration({ runtime, decideCall }),
    peerKnowledgeRegistration({ runtime, seeds, decideFloor }),
    resultsRegistration({ runtime, weighTarget }),
    routingRegistration({
      runtime,
      availabilityZone,
      chooseTarget,
      ...(measureRequest === undefined ? {} : { measureRequest }),
    }),
    retriesRegistration({ runtime }),
    copiesRegistration({ runtime }),
    returnsRegistration({ runtime }),
    throughputRegistration({ runtime }),
    refusalsRegistration({ runtime, ...queueing }),
    waitingRegistration({ runtime, ...queueing }),
    intakeRegistration({ runtime }),
    answerMemoryRegistration({ maxBytes: options.answerMemoryBytes }),
    exchangesRegistration({
      runtime,
      isStalled,
      ...(decidePriority === undefined ? {} : { decidePriority }),
    }),
    lifecycleRegistration({ runtime, graceMs }),
  ];
};
