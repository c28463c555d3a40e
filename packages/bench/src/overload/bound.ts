/**
 * @module What a single server with the capacity of all groups and full knowledge could serve in
 * time, at most.
 *
 * The server reads prompts on all ranks at once, always runs full batches, and takes the requests
 * with the most worth for their work. A set of requests can be served in time only if, between any
 * two times, the work that must be done there fits. Times are rounded outward, so the result is an
 * upper bound. Plain calls count as served in time.
 */
import { MAX_PAUSE_MS, type Deployment } from './deployment.js';
import { TRAFFIC_UNTIL_MS, type PlannedRequest } from './traffic.js';

const BIN_MS = 250;

/** Shares of all requests, and of their worth, that can be served in time at most. */
export interface Bound {
  readonly inTimeShare: number;
  readonly worthShare: number;
}

/** Time for which one request occupies all groups together. */
const workMsOf = (request: PlannedRequest, { group, groupCount }: Deployment): number => {
  const { slots, rankCount, stepMs, perSequenceMs, stepsPerPass, readTokensPerMs } = group;
  const passMs = stepsPerPass * (stepMs + perSequenceMs * slots);
  const decodeMs = (request.eventCount * passMs) / (slots * rankCount);
  return (request.promptTokens / (readTokensPerMs * rankCount) + decodeMs) / groupCount;
};

/**
 * Upper bound of the share in time, and of the worth if all others were answered late.
 *
 * @example
 * boundOf(requests, CAPTIONS, () => 1).inTimeShare; // 0.97
 */
export const boundOf = (
  requests: readonly PlannedRequest[],
  deployment: Deployment,
  /** Share of the ranks that exist at a time. */
  capacityAt: (atMs: number) => number,
): Bound => {
  const binCount = Math.ceil((TRAFFIC_UNTIL_MS + 10_000) / BIN_MS);
  // slack[from][until]: work that still fits between the begin of one bin and the end of another.
  const slack = Array.from({ length: binCount }, (_, from) => {
    let capacityMs = 0;
    return Array.from({ length: binCount }, (__, until) => {
      capacityMs += until < from ? 0 : BIN_MS * capacityAt(until * BIN_MS);
      return capacityMs;
    });
  });
  const gains = requests.map((request) => {
    const { kind, arrivesAtMs, eventCount, promptTokens } = request;
    const endAtMs = arrivesAtMs + kind.objectiveMs + (eventCount - 1) * MAX_PAUSE_MS;
    const workMs = promptTokens === 0 ? 0 : workMsOf(request, deployment);
    const from = Math.floor(arrivesAtMs / BIN_MS);
    const until = Math.min(binCount - 1, Math.floor(endAtMs / BIN_MS));
    const lateWorth = kind.worth * kind.lateShare;
    return { workMs, from, until, worth: kind.worth, lateWorth };
  });
  const density = ({ workMs, worth, lateWorth }: (typeof gains)[number]): number =>
    (worth - lateWorth) / Math.max(workMs, Number.MIN_VALUE);
  let inTime = 0;
  let worth = 0;
  [...gains]
    .sort((left, right) => density(right) - density(left))
    .forEach((gain) => {
      const spans = slack.slice(0, gain.from + 1);
      const fitsMs = Math.min(...spans.map((row) => Math.min(...row.slice(gain.until))));
      const takenMs = Math.max(0, Math.min(gain.workMs, fitsMs));
      spans.forEach((row) =>
        row.slice(gain.until).forEach((fits, index) => {
          row.splice(gain.until + index, 1, fits - takenMs);
        }),
      );
      const share = gain.workMs === 0 ? 1 : takenMs / gain.workMs;
      inTime += share;
      worth += gain.lateWorth + share * (gain.worth - gain.lateWorth);
    });
  const allWorth = requests.reduce((total, { kind }) => total + kind.worth, 0);
  return { inTimeShare: inTime / gains.length, worthShare: worth / allWorth };
};
