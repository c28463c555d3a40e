/** @module Public interface of the ports. */
export { default as AdminServer } from './AdminServer.js';
export {
  adminRouter,
  type AdminRouter,
  type AdminFunctions,
  type ProcessStatus,
} from './admin-router.js';
export { CallerPort, type CallerPortOptions, type Page } from './caller-port.js';
export { default as ConfigurationPort } from './ConfigurationPort.js';
export { DropCounters, Listener, type DropCount, type RecordDrop } from './DropCounters.js';
export { FrameReader, frame } from './frame-reader.js';
export { DecisionLog, type LoggedDecision } from './decision-log.js';
export { default as LinkPort } from './LinkPort.js';
export { default as LogPort } from './LogPort.js';
export { decodeMessage, encodeMessage } from './message-codec.js';
export { ProcessHost, systemRuntime, type ProcessHostOptions } from './process-host.js';
export { default as TargetPort } from './TargetPort.js';
export {
  BURN_WINDOWS_MINUTES,
  BurnMeter,
  type BurnWindow,
  type ReasonCount,
  type ServiceBurn,
} from './burn-meter.js';
export { formatMetrics } from './metrics-page.js';
