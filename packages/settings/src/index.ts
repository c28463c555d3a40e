/** @module Public interface of the settings package. */
export { default as parseConfiguration } from './parseConfiguration.js';
export { credentialDigest } from './credential-digest.js';
export {
  entrySettingsSchema,
  sidecarSettingsSchema,
  type EntrySettings,
  type SidecarSettings,
} from './process-settings.js';
export {
  gatewaySettingsSchema,
  rankAgentSettingsSchema,
  type GatewaySettings,
  type RankAgentSettings,
} from './gateway-settings.js';
export {
  SettingsVerdict,
  describeProblem,
  parseSettings,
  type SettingsProblem,
  type SettingsResult,
} from './parse-settings.js';
