/** @module Public interface of the ports that connect services to sockets, timers and logs. */
export {
  default as CallerServer,
  type CallerServerOptions,
  type ListenAddress,
} from './CallerServer.js';
export { default as createLatencyHistogram } from './createLatencyHistogram.js';
export { default as DatagramPort } from './DatagramPort.js';
export { REPORT_INTERVAL_MS } from '@ebonysill/http';
export { default as DropReporter } from './DropReporter.js';
export { default as LogPort } from './LogPort.js';
export { default as MetricsRecorder } from './MetricsRecorder.js';
export { default as parsePeerMessage } from './parsePeerMessage.js';
export { default as ProcessHost, type ProcessPorts, type RankPort } from './ProcessHost.js';
export type { DecodeRequest, EncodedRequest } from './RequestReceiver.js';
export { default as StatusServer, type StatusAnswer } from './StatusServer.js';
export { default as TargetClient, type DecodeTargetHead, type EncodeCall } from './TargetClient.js';
