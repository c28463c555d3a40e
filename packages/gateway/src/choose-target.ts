/** @module Chooses the target of a request. */
import type { Candidate, PlacementChoice } from '@ebonysill/scheduling';
import type { PublishedTarget } from './published.js';

/** A published target with its load. */
export interface TargetCandidate extends Candidate {
  readonly target: PublishedTarget;
}

/** Input of a {@link ChooseTarget} function. */
export type TargetChoice = PlacementChoice<TargetCandidate>;

/** Chooses one of the candidates; undefined when all are full. */
export type ChooseTarget = (choice: TargetChoice) => TargetCandidate | undefined;

/** Cost of another availability zone, in requests; decides only between equally loaded targets. */
const OTHER_ZONE_COST = 0.05;

/** Range of random costs, in requests; gateways with the same load counts choose differently. */
const JITTER_COST = 0.3;

/**
 * Chooses the target with the fewest requests in progress that still has a free slot.
 *
 * @example
 * chooseLeastLoaded(choice)?.target.instanceId; // 'i-7'
 */
export const chooseLeastLoaded: ChooseTarget = ({ candidates, random }) => {
  const costedCandidates = candidates
    .filter(({ runningCount, slots }) => runningCount < slots)
    .map((candidate) => ({
      candidate,
      cost:
        candidate.runningCount +
        random() * JITTER_COST +
        (candidate.isSameZone ? 0 : OTHER_ZONE_COST),
    }));
  return costedCandidates.reduce<(typeof costedCandidates)[number] | undefined>(
    (best, costed) => (best === undefined || costed.cost < best.cost ? costed : best),
    undefined,
  )?.candidate;
};
