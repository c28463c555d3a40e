/** @module Decisions on requests that compete for targets. */
export * from './demand.js';
export * from './urgency.js';
export * from './decide-evictions.js';
