/**
 * @module Chooses the target of a request by outstanding work.
 *
 * Load pattern: long prompts among short ones, sent by several gateways that know of each other's
 * requests only after a delay. A target reads one prompt after the other, so a short prompt behind
 * a long one waits for it, and gateways that know the same choose the same target.
 */
import type { RequestWork } from './request-work.js';

/** A target that a request may be sent to, as this gateway knows it. */
export interface Candidate {
  readonly slots: number;
  /** Requests of all gateways there. */
  readonly runningCount: number;
  /** Outstanding work of all gateways there. */
  readonly workTokens: number;
  /** Long prompts there that have not been read. */
  readonly longCount: number;
  /** Part of the usual load that the target carries by its results: over 0, up to 1. */
  readonly weight: number;
  /** Whether it rejected a request for being full a moment ago. */
  readonly isFull: boolean;
  readonly isSameZone: boolean;
}

/** Input of a function that chooses a target. */
export interface PlacementChoice<TCandidate extends Candidate> {
  readonly candidates: readonly TCandidate[];
  /** Undefined when the sizes of requests are not published: each counts as one token. */
  readonly work: RequestWork | undefined;
  /** Work of a usual request; 1 when the sizes are not published. */
  readonly usualTokens: number;
  /** Other gateways that may choose at the same time. */
  readonly otherGatewayCount: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Chooses one of the candidates; undefined when all are full. */
export type ChooseCandidate = <TCandidate extends Candidate>(
  choice: PlacementChoice<TCandidate>,
) => TCandidate | undefined;

/** Cost of another availability zone, in usual requests; decides between about equal targets. */
const OTHER_ZONE_COST = 0.05;

/**
 * Cost of a taken slot, in usual requests. A prompt is read within about a tenth of the time for
 * which its request keeps a slot, so late reports are right for longer about slots than about work.
 */
const SLOT_COST = 0.25;

/** Range of random costs, in usual requests; decides between about equal targets. */
const JITTER_COST = 0.1;

/**
 * Targets that are compared while there are other gateways. Gateways that compare all of them choose
 * the same few until they hear of each other; with two at random, the more loaded half is rarely
 * chosen. Four and more were worse in every replay with 6 or 22 gateways, also with fresh reports.
 */
const COMPARED_COUNT = 2;

/** Some of the items, at random. */
const sampleOf = <TItem>(
  items: readonly TItem[],
  count: number,
  random: () => number,
): readonly TItem[] => {
  if (count >= items.length) {
    return items;
  }
  const left = [...items];
  return Array.from({ length: count }).flatMap(() =>
    left.splice(Math.floor(random() * left.length), 1),
  );
};

/**
 * Chooses the target with the least outstanding work and taken slots in proportion to what it can
 * carry, among some of those with a free slot. A long prompt goes to a target without one as long as there is any.
 *
 * @example
 * chooseByWork({ candidates, work, usualTokens, otherGatewayCount: 5, random });
 */
export const chooseByWork: ChooseCandidate = ({
  candidates,
  work,
  usualTokens,
  otherGatewayCount,
  random,
}) => {
  const free = candidates.filter(
    ({ isFull, runningCount, slots }) => !isFull && runningCount < slots,
  );
  const withoutLong = work?.isLong === true ? free.filter(({ longCount }) => longCount === 0) : [];
  const ownTokens = work === undefined ? usualTokens : work.readTokens + work.writeTokens;
  const suitable = withoutLong.length > 0 ? withoutLong : free;
  const comparedCount = otherGatewayCount === 0 ? suitable.length : COMPARED_COUNT;
  const compared = sampleOf(suitable, comparedCount, random);
  const costOf = (candidate: (typeof free)[number]): number => {
    const { runningCount, workTokens, weight, isSameZone } = candidate;
    const slotTokens = runningCount * SLOT_COST * usualTokens;
    return (
      (workTokens + slotTokens + ownTokens) / weight +
      usualTokens * (random() * JITTER_COST + (isSameZone ? 0 : OTHER_ZONE_COST))
    );
  };
  let best: (typeof free)[number] | undefined;
  let bestCost = Infinity;
  compared.forEach((candidate) => {
    const cost = costOf(candidate);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  });
  return best;
};
