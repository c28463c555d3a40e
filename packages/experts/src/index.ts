/** @module Public interface of the rank sidecar and its expert map planner. */
export { createRankServices, type RankOptions } from './create-rank-services.js';
export { loadOfRanks, skewOf, type ExpertCounts } from './map-load.js';
export { initialMap } from './initial-map.js';
export { planMap, type PlanOptions } from './plan-map.js';
export { holdUndecided, type HoldRule } from './rank-gate-service.js';
export { everyRank, type QuorumRule, type Propose } from './group-driver-service.js';
