/** @module The decisions by which a gateway lets requests wait. */
import { decideFleetReturnMs, type DecideFleetReturnMs } from './decide-fleet-return.js';
import {
  decideShare,
  decideStartRate,
  type DecideShare,
  type DecideStartRate,
} from './decide-start-rate.js';
import { decideWait, type DecideWait } from './decide-wait.js';
import { decideYield, type DecideYield } from './decide-yield.js';
import { orderDemands, type OrderDemands } from './order-demands.js';
import { priorityOf, type DecidePriority } from './urgency.js';

/** Decisions of a gateway that lets requests wait. */
export interface QueueDecisions {
  readonly decidePriority: DecidePriority;
  readonly orderDemands: OrderDemands;
  readonly decideWait: DecideWait;
  readonly decideYield: DecideYield;
  readonly decideShare: DecideShare;
  readonly decideStartRate: DecideStartRate;
  readonly decideFleetReturnMs: DecideFleetReturnMs;
}

/** Requests wait by priority, fair shares and the rate at which places come free. */
export const QUEUE_BY_RATE: QueueDecisions = {
  decidePriority: priorityOf,
  orderDemands,
  decideWait,
  decideYield,
  decideShare,
  decideStartRate,
  decideFleetReturnMs,
};
