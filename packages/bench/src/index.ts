/** @module Public interface of the benchmarks and the fault matrix. */
export {
  faultsOf,
  nameOfFaultCase,
  pairCases,
  singleCases,
  type FaultCase,
} from './faults/fault-case.js';
export { FaultKind, RequestKind } from './faults/fault-kind.js';
export { KNOWN_BAD, KnownBad, type KnownBadVariant } from './faults/known-bad.js';
export { Invariant, runCase, type CaseResult } from './faults/run-case.js';
export { MapFault, mapCases, nameOfMapCase, type MapCase } from './maps/map-case.js';
export { MapInvariant, runMapCase, type MapRules } from './maps/run-map-case.js';
