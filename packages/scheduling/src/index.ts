/** @module Decisions on requests that compete for targets. */
export * from './demand.js';
export * from './request-work.js';
export * from './urgency.js';
