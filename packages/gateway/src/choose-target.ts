/** @module Chooses the target of a request. */
import type { LoadsApi } from './directory.js';
import type { PublishedTarget } from './published.js';

/** Input of a {@link ChooseTarget} function. */
export interface TargetChoice {
  readonly candidates: readonly PublishedTarget[];
  readonly loads: LoadsApi;
  readonly availabilityZone: string;
  readonly random: () => number;
}

/** Chooses one of the candidates; undefined when all are full. */
export type ChooseTarget = (choice: TargetChoice) => PublishedTarget | undefined;

/** Cost of another availability zone, in requests; decides only between equally loaded targets. */
const OTHER_ZONE_COST = 0.05;

/** Range of random costs, in requests; gateways with the same load counts choose differently. */
const JITTER_COST = 0.3;

/**
 * Chooses the target with the fewest requests in progress that still has a free slot.
 *
 * @example
 * chooseLeastLoaded({ candidates, loads, availabilityZone: 'zone-a', random });
 */
export const chooseLeastLoaded: ChooseTarget = ({
  candidates,
  loads,
  availabilityZone,
  random,
}) => {
  const costedCandidates = candidates
    .map((target) => ({ target, count: loads.countAt(target.instanceId) }))
    .filter(({ target, count }) => count < target.slots)
    .map(({ target, count }) => ({
      target,
      cost:
        count +
        random() * JITTER_COST +
        (target.availabilityZone === availabilityZone ? 0 : OTHER_ZONE_COST),
    }));
  return costedCandidates.reduce<(typeof costedCandidates)[number] | undefined>(
    (best, candidate) => (best === undefined || candidate.cost < best.cost ? candidate : best),
    undefined,
  )?.target;
};
