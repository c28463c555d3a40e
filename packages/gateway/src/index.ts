/** @module Public interface of the gateway's services. */
export * from './build-effects.js';
export * from './choose-target.js';
export * from './create-gateway-services.js';
export * from './directory.js';
export * from './effect.js';
export * from './event.js';
export { default as AnswerBuffers } from './AnswerBuffers.js';
export * from './AnswerBuffers.js';
export * from './decide-admission.js';
export * from './event-splitter.js';
export * from './is-stalled.js';
export * from './exchange-data.js';
export * from './members-service.js';
export * from './peer-message.js';
export * from './published.js';
export * from './rank-data.js';
export * from './runtime.js';
export { default as TimerKind } from './TimerKind.js';
