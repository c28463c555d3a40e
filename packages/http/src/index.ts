/** @module Public interface of the package. */
export { default as detectReset } from './detectReset.js';
export {
  default as AnswerReader,
  type AnswerControl,
  type AnswerReaderOptions,
  type AnswerReading,
} from './AnswerReader.js';
export { default as BodyBuffer } from './BodyBuffer.js';
export { default as BodyReceiver } from './BodyReceiver.js';
export {
  default as ByteBudget,
  CHECK_INTERVAL_MS,
  DropCause,
  type Holding,
  type HoldingOptions,
} from './ByteBudget.js';
export {
  default as CauseReporter,
  REPORT_INTERVAL_MS,
  type CauseReporterOptions,
} from './CauseReporter.js';
export { default as ConnectionLimit } from './ConnectionLimit.js';
export { deriveCallerBounds, type CallerBounds, type HostLimits } from './derive-caller-bounds.js';
export { default as FramingMeter, FramingVerdict } from './FramingMeter.js';
export { default as hasFinalStatus } from './hasFinalStatus.js';
export { default as HttpClient, type HttpAnswer } from './HttpClient.js';
export { default as GarbageMeter, type CollectGarbage } from './GarbageMeter.js';
export { default as limitInformation } from './limitInformation.js';
export { default as ReadTurns, type ReadTurnsOptions } from './ReadTurns.js';
export { default as RequestReader, type RequestReaderOptions } from './RequestReader.js';
export { default as SlowReads, type SlowRead } from './SlowReads.js';
export { hasBody, refuseBodies } from './refuse-bodies.js';
export { MAX_STATUS_CONNECTIONS, guardServer, type ServerBounds } from './guard-server.js';
