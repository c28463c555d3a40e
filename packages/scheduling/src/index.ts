/** @module Decisions on requests that compete for targets. */
export * from './decide-return.js';
export * from './demand.js';
export * from './urgency.js';
