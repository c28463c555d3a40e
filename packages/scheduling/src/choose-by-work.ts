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
  /** Mean time since they reported their load. */
  readonly reportAgeMs: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Chooses one of the candidates; undefined when all are full. */
export type ChooseCandidate = <TCandidate extends Candidate>(
  choice: PlacementChoice<TCandidate>,
) => TCandidate | undefined;

/** Cost of another availability zone, in usual requests; decides between about equal targets. */
const OTHER_ZONE_COST = 0.05;

/** Range of random costs, in usual requests; decides between about equal targets. */
const JITTER_COST = 0.1;

/** Age at which reports say little: within about a pass, targets read the prompts that they had. */
const OLD_REPORT_MS = 50;

/** With two at random, the more loaded half of the targets is rarely chosen. */
const MIN_COMPARED = 2;

/**
 * How many of `count` targets are compared. Gateways that compare all of them choose the same one
 * until they hear of each other's choice; each compares as many as are there for each gateway.
 */
const comparedCount = (count: number, otherGatewayCount: number, reportAgeMs: number): number => {
  const unheardCount = otherGatewayCount * Math.min(1, reportAgeMs / OLD_REPORT_MS);
  return Math.min(count, Math.max(MIN_COMPARED, Math.ceil(count / (1 + unheardCount))));
};

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
 * Chooses the target with the least outstanding work in proportion to what it can carry, among some
 * of those with a free slot. A long prompt goes to a target without one as long as there is any.
 *
 * @example
 * chooseByWork({ candidates, work, usualTokens, otherGatewayCount: 5, reportAgeMs: 40, random });
 */
export const chooseByWork: ChooseCandidate = ({
  candidates,
  work,
  usualTokens,
  otherGatewayCount,
  reportAgeMs,
  random,
}) => {
  const free = candidates.filter(
    ({ isFull, runningCount, slots }) => !isFull && runningCount < slots,
  );
  const withoutLong = work?.isLong === true ? free.filter(({ longCount }) => longCount === 0) : [];
  const ownTokens = work === undefined ? usualTokens : work.readTokens + work.writeTokens;
  const suitable = withoutLong.length > 0 ? withoutLong : free;
  const compared = sampleOf(
    suitable,
    comparedCount(suitable.length, otherGatewayCount, reportAgeMs),
    random,
  );
  const costOf = ({ workTokens, weight, isSameZone }: (typeof free)[number]): number =>
    (workTokens + ownTokens) / weight +
    usualTokens * (random() * JITTER_COST + (isSameZone ? 0 : OTHER_ZONE_COST));
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
