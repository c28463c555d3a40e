/** @module Public interface of the binaries, for tests that run them in one process. */
export { startEntry, type EntryAddresses } from './start-entry.js';
export { startSidecar, type SidecarAddresses } from './start-sidecar.js';
export type { RunningProcess } from './running-process.js';
