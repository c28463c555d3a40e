/** @module Public interface of the sidecar's services. */
export { createSidecarServices, type SidecarOptions } from './create-sidecar-services.js';
export { DEFAULT_KEY_LEDGER_LIMITS, type KeyLedgerLimits } from './key-ledger-service.js';
