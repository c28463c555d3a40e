/** @module Rules for limits of routes and callers. */
import { MAX_HEADER_BYTES, type CallerLimits, type Route } from '@ebonysill/gateway';
import { RuleName, Severity, findingsOf, type Finding } from './finding.js';
import type { ConfigurationRule } from './rule.js';

const checkRoutes =
  (check: (route: Route, index: number) => readonly Finding[]): ConfigurationRule =>
  ({ next: { routes } }) =>
    routes.flatMap(check);

/** Reports routes whose requests expire as they arrive. */
export const findTimeouts = checkRoutes(({ timeoutMs }, index) =>
  timeoutMs > 0
    ? []
    : [
        findingsOf(Severity.Error, RuleName.Timeout)(
          ['routes', index, 'timeoutMs'],
          `a timeout of ${timeoutMs} ms is over when a request arrives`,
        ),
      ],
);

/** Reports numbers of attempts that gateways cannot use as they are. */
export const findAttempts = checkRoutes(({ maxAttempts }, index) =>
  Number.isInteger(maxAttempts) && maxAttempts >= 1
    ? []
    : [
        findingsOf(Severity.Warning, RuleName.Attempts)(
          ['routes', index, 'maxAttempts'],
          `${maxAttempts} is not a positive integer; each request has at least one attempt`,
        ),
      ],
);

/** Least urgent priority that targets accept. */
const LEAST_URGENT = 9;

const findPriority = (section: string, index: number, priority: number): readonly Finding[] =>
  Number.isInteger(priority) && priority >= 0 && priority <= LEAST_URGENT
    ? []
    : [
        findingsOf(Severity.Warning, RuleName.Priority)(
          [section, index, 'priority'],
          `${priority} is not an integer from 0 to ${LEAST_URGENT}; gateways use the nearest one`,
        ),
      ];

/** Reports priorities outside the range that targets accept. */
export const findPriorities: ConfigurationRule = ({ next: { routes, organisations } }) => [
  ...routes.flatMap(({ priority }, index) => findPriority('routes', index, priority)),
  ...organisations.flatMap(({ priority }, index) =>
    priority === undefined ? [] : findPriority('organisations', index, priority),
  ),
];

/** Reports objectives and pauses that are longer than the timeout, or negative. */
export const findObjectivesOverTimeout = checkRoutes(
  ({ timeoutMs, objectiveMs, maxPauseMs }, index) =>
    Object.entries({ objectiveMs, maxPauseMs }).flatMap(([field, valueMs]) => {
      const create = findingsOf(Severity.Warning, RuleName.ObjectiveOverTimeout);
      if (valueMs < 0) {
        return [create(['routes', index, field], `${valueMs} ms is negative`)];
      }
      return valueMs <= timeoutMs
        ? []
        : [
            create(
              ['routes', index, field],
              `${valueMs} ms is over the timeout of ${timeoutMs} ms, so an answer in time always meets it`,
            ),
          ];
    }),
);

const UNIT_OF: Readonly<Record<keyof CallerLimits, string>> = {
  maxHeaderBytes: 'bytes',
  maxBodyBytes: 'bytes',
  headerTimeoutMs: 'ms',
  idleTimeoutMs: 'ms',
};

/** Limits of callers by field, with the unit of each. */
export const listLimits = (
  limits: CallerLimits,
): readonly { readonly field: string; readonly value: number; readonly unit: string }[] =>
  Object.entries(UNIT_OF).map(([field, unit]) => ({
    field,
    value: limits[field as keyof CallerLimits],
    unit,
  }));

/** Reports limits of callers with which no request gets through, or that gateways do not enforce. */
export const findCallerLimits: ConfigurationRule = ({ next: { limits } }) => {
  const faults = listLimits(limits)
    .filter(({ value }) => value <= 0)
    .map(({ field, value, unit }) =>
      findingsOf(Severity.Error, RuleName.CallerLimits)(
        ['limits', field],
        `expected a positive limit instead of ${value} ${unit}`,
      ),
    );
  return limits.maxHeaderBytes > MAX_HEADER_BYTES
    ? [
        ...faults,
        findingsOf(Severity.Warning, RuleName.CallerLimits)(
          ['limits', 'maxHeaderBytes'],
          `${limits.maxHeaderBytes} bytes is over the ${MAX_HEADER_BYTES} bytes that gateways accept`,
        ),
      ]
    : faults;
};
