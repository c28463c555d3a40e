/** @module Decisions on requests that compete for targets. */
export * from './choose-by-work.js';
export * from './demand.js';
export * from './request-work.js';
export * from './urgency.js';
export * from './weigh-target.js';
