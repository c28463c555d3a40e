/** @module Public interface of the emulator. */
export { AnswerState, type CallerAnswer } from './caller-answer.js';
export { CallerAgent, type CallPlan, type CallSend } from './caller-agent.js';
export { createRandom, type Random } from './create-random.js';
export {
  Emulation,
  type EmulationOptions,
  type RankEffect,
  type UpcomingStep,
} from './emulation.js';
export { EmulatedProcess } from './emulated-process.js';
export { FakeRankGroup, type FakeRankGroupOptions } from './fake-rank-group.js';
export { createRankFleet, type RankFleet, type RankFleetOptions } from './rank-fleet.js';
export { FakeTarget, POISON_PREFIX, type FakeTargetOptions } from './fake-target.js';
export { FakeConfigurationService, FakeConfigurationMode } from './fake-configuration-service.js';
export { DeliveryOutcome, type Delivery, type NetworkRules } from './emulated-network.js';
export { Step, stepOf } from './step.js';
export { VirtualTime, type ScheduledAction } from './virtual-time.js';
export { chunkOf, expectedAnswer } from './expected-answer.js';
export { createFleet, type FleetOptions, type Fleet } from './fleet.js';
export {
  buildFleetConfiguration,
  modelService,
  plainService,
  type FleetShape,
} from './fleet-configuration.js';
