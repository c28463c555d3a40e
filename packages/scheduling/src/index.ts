/** @module Decisions on requests that compete for targets. */
export * from './choose-by-work.js';
export * from './decide-evictions.js';
export * from './decide-fleet-return.js';
export * from './decide-return.js';
export * from './decide-start-rate.js';
export * from './decide-wait.js';
export * from './decide-yield.js';
export * from './demand.js';
export * from './order-demands.js';
export * from './owns-cold-slot.js';
export * from './queue-decisions.js';
export * from './request-work.js';
export * from './shed-by-urgency.js';
export * from './urgency.js';
export * from './weigh-target.js';
