/**
 * @module Decides which gateway may send a request to a cold target that takes fewer than one a second from each.
 *
 * Load pattern: a target comes back cold and many gateways have requests for it. If each sent one in the same
 * second, the target would get as many as there are gateways, which may be several times what it takes.
 */

/** A cold target and the place of one gateway among all. */
export interface ColdSlotQuestion {
  /** Time until the target is warm, as all gateways know it. */
  readonly coldMsLeft: number;
  /** Requests that the target takes in a second. */
  readonly perSecond: number;
  /** Place of this gateway, from 0. */
  readonly gatewayIndex: number;
  readonly gatewayCount: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Number of the slot that runs now; slots are as long as the target takes for one request, and are counted
 * down to the time at which it is warm.
 *
 * @example
 * coldSlotOf({ coldMsLeft: 2_400, perSecond: 2 }); // 4
 */
export const coldSlotOf = ({
  coldMsLeft,
  perSecond,
}: Pick<ColdSlotQuestion, 'coldMsLeft' | 'perSecond'>): number =>
  Math.floor((coldMsLeft * perSecond) / MS_PER_SECOND);

/**
 * Whether the slot that runs now belongs to this gateway. Gateways own slots in turn, so that no second
 * contains more of them than the target takes, without a message between them.
 *
 * @example
 * ownsColdSlot({ coldMsLeft: 2_400, perSecond: 2, gatewayIndex: 4, gatewayCount: 12 }); // true
 */
export const ownsColdSlot = (question: ColdSlotQuestion): boolean =>
  coldSlotOf(question) % question.gatewayCount === question.gatewayIndex;
