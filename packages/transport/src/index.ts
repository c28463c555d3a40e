/** @module Public interface of the ports. */
export { AdminServer } from './admin-server.js';
export {
  adminRouter,
  type AdminRouter,
  type AdminFunctions,
  type ProcessStatus,
} from './admin-router.js';
export { CallerPort, type CallerPortOptions, type Page } from './caller-port.js';
export { ConfigurationPort } from './configuration-port.js';
export { Journal, type JournalLine } from './journal.js';
export { LinkPort } from './link-port.js';
export { LogPort } from './log-port.js';
export { decodeMessage, encodeMessage } from './message-codec.js';
export { ProcessHost, systemRuntime, type ProcessHostOptions } from './process-host.js';
export { TargetPort } from './target-port.js';
