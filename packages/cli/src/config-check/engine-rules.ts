/** @module Rules for engines, and for limits that an engine cannot meet. */
import {
  CallKind,
  longPassMsOf,
  type EngineProfile,
  type PublishedService,
  type Route,
} from '@ebonysill/gateway';
import { RuleName, Severity, findingsOf, quote, type Finding } from './finding.js';
import type { ConfigurationRule } from './rule.js';

const MS_PER_SECOND = 1_000;

/** Duration of a pass with one request; no engine is faster. */
const leastPassMs = ({ stepsPerPass, stepMs }: EngineProfile): number => stepsPerPass * stepMs;

const readMs = ({ usual, readTokensPerSecond }: EngineProfile): number =>
  usual === undefined || readTokensPerSecond <= 0
    ? 0
    : (usual.promptTokens / readTokensPerSecond) * MS_PER_SECOND;

/** Time to the first event with the usual prompt and no other request. */
const leastFirstEventMs = (engine: EngineProfile): number => readMs(engine) + leastPassMs(engine);

/** Time to the end of the usual answer with no other request; each step writes a token. */
const leastAnswerMs = (engine: EngineProfile): number =>
  readMs(engine) + Math.max(leastPassMs(engine), (engine.usual?.answerTokens ?? 0) * engine.stepMs);

interface RoutedEngine {
  readonly route: Route;
  readonly index: number;
  readonly service: string;
  readonly engine: EngineProfile;
}

type CheckEngine = (routed: RoutedEngine) => readonly Finding[];

const checkRoutedEngines =
  (check: CheckEngine): ConfigurationRule =>
  ({ next: { routes, services } }) => {
    const byName = new Map(services.map((service) => [service.name, service]));
    return routes.flatMap((route, index) =>
      route.services.flatMap(({ service, weight }) => {
        const engine = byName.get(service)?.engine;
        return engine === undefined || weight <= 0 ? [] : check({ route, index, service, engine });
      }),
    );
  };

const roundMs = (ms: number): number => Math.round(ms);

/** Reports timeouts that the usual answer of an idle engine exceeds. */
export const findTimeoutsUnderEngine = checkRoutedEngines(
  ({ route: { timeoutMs }, index, service, engine }) => {
    const leastMs = leastAnswerMs(engine);
    return timeoutMs <= 0 || timeoutMs >= leastMs
      ? []
      : [
          findingsOf(Severity.Warning, RuleName.TimeoutUnderEngine)(
            ['routes', index, 'timeoutMs'],
            `${timeoutMs} ms is under the ${roundMs(leastMs)} ms that an idle engine of ${quote(service)} takes for the usual answer`,
          ),
        ];
  },
);

/** Reports objectives that an idle engine does not meet. */
export const findObjectivesUnderEngine = checkRoutedEngines(
  ({ route: { kind, objectiveMs }, index, service, engine }) => {
    const isStream = kind === CallKind.Streaming;
    const leastMs = isStream ? leastFirstEventMs(engine) : leastAnswerMs(engine);
    return objectiveMs <= 0 || objectiveMs >= leastMs
      ? []
      : [
          findingsOf(Severity.Warning, RuleName.ObjectiveUnderEngine)(
            ['routes', index, 'objectiveMs'],
            `${objectiveMs} ms is under the ${roundMs(leastMs)} ms that an idle engine of ${quote(service)} takes to the ${isStream ? 'first event' : 'usual answer'}`,
          ),
        ];
  },
);

/** Reports pauses for which each pass is too long, so that gateways refuse nearly all streams. */
export const findPausesUnderEngine = checkRoutedEngines(
  ({ route: { kind, maxPauseMs }, index, service, engine }) =>
    kind !== CallKind.Streaming || maxPauseMs <= 0 || leastPassMs(engine) < longPassMsOf(maxPauseMs)
      ? []
      : [
          findingsOf(Severity.Warning, RuleName.PauseUnderEngine)(
            ['routes', index, 'maxPauseMs'],
            `gateways refuse streams from passes of ${roundMs(longPassMsOf(maxPauseMs))} ms on; the shortest of ${quote(service)} takes ${roundMs(leastPassMs(engine))} ms`,
          ),
        ],
);

const checkServices =
  (check: (service: PublishedService, index: number) => readonly Finding[]): ConfigurationRule =>
  ({ next: { services } }) =>
    services.flatMap(check);

const isCount = (value: number): boolean => Number.isInteger(value) && value >= 1;

/** Reports sizes and speeds that no engine has. */
export const findEngineProfiles = checkServices(({ engine }, index) => {
  if (engine === undefined) {
    return [];
  }
  const create = findingsOf(Severity.Error, RuleName.EngineProfile);
  const { usual, slots, stepsPerPass, ...amounts } = engine;
  const path = ['services', index, 'engine'];
  return [
    ...Object.entries({ slots, stepsPerPass }).flatMap(([field, value]) =>
      isCount(value) ? [] : [create([...path, field], `${value} is not a positive integer`)],
    ),
    ...Object.entries(amounts).flatMap(([field, value]) =>
      value >= 0 ? [] : [create([...path, field], `${value} is negative`)],
    ),
  ];
});

/** Reports memory that holds fewer usual requests than the engine has slots. */
export const findEngineMemory = checkServices(({ engine }, index) => {
  const usual = engine?.usual;
  if (engine === undefined || usual === undefined || engine.kvCacheTokens === 0) {
    return [];
  }
  const tokens = usual.promptTokens + usual.answerTokens;
  return engine.slots * tokens <= engine.kvCacheTokens
    ? []
    : [
        findingsOf(Severity.Warning, RuleName.EngineMemory)(
          ['services', index, 'engine', 'kvCacheTokens'],
          `${engine.kvCacheTokens} tokens are fewer than ${engine.slots} slots of ${roundMs(tokens)} usual tokens need`,
        ),
      ];
});

const coldFaultOf = ({ coldPerSecond, engine }: PublishedService): string | undefined => {
  if (coldPerSecond < 0) {
    return `${coldPerSecond} requests per second is negative; a target gets none until it is warm`;
  }
  if (coldPerSecond > 0 && coldPerSecond < 1) {
    return `${coldPerSecond} requests per second is under 1; a cold target gets one every ${1 / coldPerSecond} s`;
  }
  const answerMs = engine === undefined ? 0 : leastAnswerMs(engine);
  const warmPerSecond =
    engine === undefined || answerMs <= 0
      ? Number.POSITIVE_INFINITY
      : (engine.slots * MS_PER_SECOND) / answerMs;
  return coldPerSecond > warmPerSecond
    ? `${coldPerSecond} requests per second is over the ${warmPerSecond.toFixed(1)} that a warm target completes, so the limit has no effect`
    : undefined;
};

/** Reports limits on requests to cold targets that cannot be kept or have no effect. */
export const findColdLimits = checkServices((service, index) => {
  const fault = coldFaultOf(service);
  return fault === undefined
    ? []
    : [
        findingsOf(Severity.Warning, RuleName.ColdLimit)(
          ['services', index, 'coldPerSecond'],
          fault,
        ),
      ];
});
