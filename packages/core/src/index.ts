/** @module Public interface of the core types. */
export * from './configuration-delta.js';
export * from './configuration.js';
export * from './directory.js';
export * from './effect.js';
export * from './event.js';
export * from './expert-map.js';
export * from './idempotency-key.js';
export * from './message.js';
export * from './outcome.js';
export * from './runtime.js';
export { default as TimerKind } from './TimerKind.js';
