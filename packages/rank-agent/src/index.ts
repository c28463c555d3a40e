/** @module Public interface of the services beside a rank. */
export { createAgentServices, type AgentOptions } from './create-agent-services.js';
export { loadsOf, skewOf, type Popularity } from './placement.js';
export { planPlacement, type PlanBounds } from './plan-placement.js';
