/** @module Seeds of soak runs that once failed, run again as regression tests. */

import { SOAK_FAULT_KINDS, SoakFaultKind } from './fault-plan.js';

export interface Regression {
  readonly seed: number;
  /** Kinds of faults at the time of the failure, from which the seed draws. */
  readonly kinds: readonly SoakFaultKind[];
  readonly durationMs: number;
  /** Cause of the failure; part of the test title. */
  readonly cause: string;
}

const LATER_KINDS: readonly SoakFaultKind[] = [
  SoakFaultKind.StoreRestored,
  SoakFaultKind.TargetLimited,
  SoakFaultKind.EndlessAnswers,
  SoakFaultKind.BrokenConfiguration,
];

const KINDS_BEFORE_NOTICES = SOAK_FAULT_KINDS.filter((kind) => !LATER_KINDS.includes(kind));

/** All seeds that have failed, with the durations at which they failed. */
export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 101,
    kinds: KINDS_BEFORE_NOTICES,
    durationMs: 15_000,
    cause: 'proxy reordered bytes when a delay ended',
  },
  {
    seed: 4110,
    kinds: KINDS_BEFORE_NOTICES,
    durationMs: 12_000,
    cause: 'streams on silent connections kept new ones out',
  },
];
