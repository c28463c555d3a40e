/** @module Urgency of a request, as published for its organisation and its route. */

/** Least urgent priority that targets accept. */
const LEAST_URGENT = 9;

/** Published priorities of a request; 0 is the most urgent. */
export interface PublishedPriorities {
  readonly organisationPriority?: number;
  readonly routePriority: number;
}

/** Decides how urgent a request is. */
export type DecidePriority = (published: PublishedPriorities) => number;

/**
 * Priority of the organisation, else of the route, within the range that targets accept.
 *
 * @example
 * priorityOf({ organisationPriority: 0, routePriority: 2 }); // 0
 */
export const priorityOf: DecidePriority = ({ organisationPriority, routePriority }) => {
  const priority = Math.round(organisationPriority ?? routePriority);
  return Number.isNaN(priority) ? LEAST_URGENT : Math.min(LEAST_URGENT, Math.max(0, priority));
};
