/** @module The rules of `ebonysill config check`. */
import * as accessDifferences from './access-differences.js';
import * as credentialRules from './credential-rules.js';
import * as documentRules from './document-rules.js';
import * as engineRules from './engine-rules.js';
import * as limitRules from './limit-rules.js';
import * as matchRules from './match-rules.js';
import * as routeDifferences from './route-differences.js';
import type { RuleSet } from './rule.js';

/** All rules; findings are sorted by place, so the order of the rules decides nothing. */
const defaultRules: RuleSet = {
  documentRules: [
    documentRules.findRepeatedFields,
    documentRules.findInvalidFields,
    documentRules.findUnknownFields,
    documentRules.findIgnoredFields,
  ],
  configurationRules: [
    matchRules.findInvalidVersion,
    matchRules.findUnmatchedHosts,
    matchRules.findUnmatchedPrefixes,
    matchRules.findHiddenRoutes,
    matchRules.findRoutesWithoutService,
    matchRules.findUnknownServices,
    matchRules.findSplitWeights,
    matchRules.findServicesWithoutRoute,
    matchRules.findRepeatedNames,
    matchRules.findStreamOnlyFields,
    credentialRules.findRepeatedCredentials,
    credentialRules.findEmptyCredentials,
    credentialRules.findNoCredentials,
    limitRules.findTimeouts,
    limitRules.findAttempts,
    limitRules.findPriorities,
    limitRules.findObjectivesOverTimeout,
    limitRules.findCallerLimits,
    engineRules.findTimeoutsUnderEngine,
    engineRules.findObjectivesUnderEngine,
    engineRules.findPausesUnderEngine,
    engineRules.findEngineProfiles,
    engineRules.findEngineMemory,
    engineRules.findColdLimits,
    routeDifferences.compareVersions,
    routeDifferences.findAddedRoutes,
    routeDifferences.findRemovedRoutes,
    routeDifferences.findChangedRoutes,
    routeDifferences.findOpenedRoutes,
    routeDifferences.findClosedRoutes,
    accessDifferences.findRemovedCredentials,
    accessDifferences.findMovedCredentials,
    accessDifferences.findAddedCredentials,
    accessDifferences.findOrganisationPriorities,
    accessDifferences.findChangedServices,
    accessDifferences.findChangedLimits,
  ],
};

export default defaultRules;
