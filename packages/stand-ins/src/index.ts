/** @module Public interface of the stand-ins. */
export { ConfigurationStandIn, ConfigurationMode } from './configuration-stand-in.js';
export { startCrowd, type Crowd, type CrowdCaller } from './crowd.js';
export { EngineStandIn, type EngineOptions } from './engine-stand-in.js';
export { completionChunk, completionEnd } from './completion.js';
export { listen, readBody } from './http-util.js';
export { LOOPBACK_HOST, loopbackHostOf } from './loopback-host.js';
export { default as MemoryWatch, type MemoryPeaks, type WatchedProcess } from './MemoryWatch.js';
export { PlainStandIn, type PlainOptions } from './plain-stand-in.js';
