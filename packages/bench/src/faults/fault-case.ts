/** @module Cases of the fault matrix. */
import { Step, createRandom } from '@ebonysill/emulator';
import { FaultKind, LOCAL_STEPS, MESSAGE_FAULTS, RequestKind, STEPS_OF } from './fault-kind.js';

/** A fault and the step at which it is injected. */
export interface PlannedFault {
  readonly fault: FaultKind;
  readonly step: Step;
  /** Which occurrence of the step, from 1. */
  readonly occurrence: number;
}

/** A request of one kind, the faults injected while it is served, and a seed. */
export interface FaultCase {
  readonly kind: RequestKind;
  readonly faults: readonly PlannedFault[];
  readonly seed: number;
}

/** Faults at `chunk-sent` are injected in the middle of the answer. */
const CHUNK_OCCURRENCE = 3;

/** Formats the name that selects a case for a replay. */
export type NameFaultCase = (faultCase: FaultCase) => string;

/**
 * Formats the name of a case, by which `ebonysill-faults --only` replays it.
 *
 * @example
 * nameOfFaultCase(faultCase); // 'keyed-call pause-sidecar@target-called seed 7'
 */
export const nameOfFaultCase: NameFaultCase = ({ kind, faults, seed }) =>
  `${kind} ${faults.map(({ fault, step }) => `${fault}@${step}`).join(' + ')} seed ${seed}`;

const appliesTo = (fault: FaultKind, step: Step): boolean =>
  !MESSAGE_FAULTS.includes(fault) || !LOCAL_STEPS.includes(step);

const planFault = (fault: FaultKind, step: Step): PlannedFault => ({
  fault,
  step,
  occurrence: step === Step.ChunkSent ? CHUNK_OCCURRENCE : 1,
});

/**
 * Lists every fault at every step of a kind of request.
 *
 * @example
 * faultsOf(RequestKind.KeyedCall).length;
 */
export const faultsOf = (kind: RequestKind): readonly PlannedFault[] =>
  Object.values(FaultKind).flatMap((fault) =>
    STEPS_OF[kind].filter((step) => appliesTo(fault, step)).map((step) => planFault(fault, step)),
  );

/**
 * Lists every fault at every step of every kind of request, one fault per case.
 *
 * @example
 * singleCases(1).length;
 */
export const singleCases = (seed: number): readonly FaultCase[] =>
  Object.values(RequestKind).flatMap((kind) =>
    faultsOf(kind).map((fault) => ({ kind, faults: [fault], seed })),
  );

/**
 * Draws cases with two faults each at random; the same seed gives the same cases.
 *
 * @example
 * pairCases(1, 500);
 */
export const pairCases = (seed: number, count: number): readonly FaultCase[] => {
  const random = createRandom(seed);
  const kinds = Object.values(RequestKind);
  const draw = <TItem>(items: readonly TItem[]): TItem =>
    items[Math.floor(random() * items.length)] as TItem;
  return Array.from({ length: count }, (_, index) => {
    const kind = draw(kinds);
    const faults = faultsOf(kind);
    return { kind, faults: [draw(faults), draw(faults)], seed: seed + index };
  });
};
