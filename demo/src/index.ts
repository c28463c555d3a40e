/** @module Public interface of the demo fleet. */
export {
  buildConfiguration,
  credentialOf,
  type FleetPlan,
  type PlannedTarget,
} from './fleet-plan.js';
export { DemoFleet } from './demo-fleet.js';
export { mintKey, postCompletion, postKeyed, type Answer } from './caller.js';
export { spawnProgram, type Program } from './program.js';
