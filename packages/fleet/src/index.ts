/** @module Public interface of the services that every process runs. */
export { configurationRegistration, type ConfigurationOptions } from './configuration-service.js';
export { linksRegistration, type LinksOptions, type SeedSidecar } from './links-service.js';
export {
  BUSY_CHECK_INTERVAL_MS,
  MIN_IDLE_CHECK_INTERVAL_MS,
  SILENCE_LIMIT_MS,
} from './link-timing.js';
export {
  suspectsRegistration,
  type SuspectsOptions,
  REFUSED_CRASH_COUNT,
} from './suspects-service.js';
export { default as log } from './log.js';
export { send, setTimer, clearTimer } from './effects.js';
export { default as sample } from './sample.js';
