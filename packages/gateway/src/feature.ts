/** @module Features that a deployment asks for, and the decisions that each of them uses. */
import { QUEUE_BY_RATE, chooseByWork, measureRequest, priorityOf } from '@ebonysill/scheduling';
import type { GatewayOptions } from './create-gateway-services.js';
import { StartAnnouncement } from './loads-service.js';

/** Something that a gateway does only where its deployment asks for it. */
export enum Feature {
  /** Targets are told the published priority of each call. */
  Priorities = 'priorities',
  /** Requests are queued, refused and placed by priority, size and what all gateways know. */
  Scheduling = 'scheduling',
}

/** Decisions of a gateway that a feature replaces. */
export type FeatureDecisions = Pick<
  GatewayOptions,
  'decidePriority' | 'queueDecisions' | 'chooseTarget' | 'measureRequest' | 'startAnnouncement'
>;

/** Returns the decisions of these features. */
type DecisionsOf = (features: readonly Feature[]) => FeatureDecisions;

/**
 * Decisions that replace the default ones; without features there are none.
 *
 * @example
 * createGatewayServices({ ...options, ...decisionsOf([Feature.Scheduling]) });
 */
export const decisionsOf: DecisionsOf = (features) => {
  if (features.includes(Feature.Scheduling)) {
    return {
      decidePriority: priorityOf,
      queueDecisions: QUEUE_BY_RATE,
      chooseTarget: chooseByWork,
      measureRequest,
      startAnnouncement: StartAnnouncement.TargetAndEnds,
    };
  }
  return features.includes(Feature.Priorities) ? { decidePriority: priorityOf } : {};
};
