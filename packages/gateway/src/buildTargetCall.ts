/** @module Builds the call of an exchange to a target. */
import type { DecidePriority } from '@ebonysill/scheduling';
import type { TargetCall } from './exchange-data.js';
import { publishedPrioritiesOf, type Exchange } from './exchange.js';
import type { PublishedTarget } from './published.js';

/** An exchange that is sent to a target now. */
interface CallStart {
  readonly exchange: Exchange;
  readonly target: PublishedTarget;
  readonly nowMs: number;
  /** Undefined when targets use their own priority. */
  readonly decidePriority: DecidePriority | undefined;
}

/** Signature of {@link buildTargetCall}. */
type BuildTargetCall = (start: CallStart) => TargetCall;

const priorityOfCall = (
  { resolution }: Exchange,
  decidePriority: DecidePriority | undefined,
): Pick<TargetCall, 'priority'> =>
  decidePriority === undefined
    ? {}
    : {
        priority: decidePriority(publishedPrioritiesOf(resolution)),
      };

/**
 * Builds the call with the time that is left at `nowMs`, for the target to resume after the last
 * event that was delivered.
 *
 * @example
 * buildTargetCall({ exchange, target, nowMs, decidePriority }).remainingMs; // 1_400
 */
const buildTargetCall: BuildTargetCall = ({ exchange, target, nowMs, decidePriority }) => {
  const { request, resolution, lastEventId, deadlineAtMs } = exchange;
  const { organisation } = resolution;
  return {
    address: target.address,
    instanceId: target.instanceId,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    remainingMs: Math.max(1, Math.floor(deadlineAtMs - nowMs)),
    ...priorityOfCall(exchange, decidePriority),
    ...(organisation === undefined ? {} : { organisation: organisation.name }),
    ...(lastEventId === undefined ? {} : { resumeAfter: lastEventId }),
  };
};

export default buildTargetCall;
