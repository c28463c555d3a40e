/** @module Public interface of the rank agent and its placement planner. */
export { createAgentServices, type AgentOptions } from './create-agent-services.js';
export { loadsOf, skewOf, type Popularity } from './placement.js';
export { planPlacement, type PlanBounds } from './plan-placement.js';
