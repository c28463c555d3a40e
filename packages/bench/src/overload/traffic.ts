/** @module Load patterns, and the requests that they draw. */
import type { Random } from '@ebonysill/emulator';
import {
  CAPTIONS,
  ORGANISATION_COUNT,
  PARKING,
  type Deployment,
  type RequestKind,
} from './deployment.js';

/** What happens to the gateways and targets in a pattern. */
export enum Incident {
  None = 'none',
  /** Half of the ranks are published, and take requests, only from then on. */
  HalfPoolReturns = 'half-pool-returns',
  AllRestart = 'all-restart',
  /** Two gateways can't read the store from then on. */
  StoreLost = 'store-lost',
}

/** A load pattern with its drawn numbers. */
export interface Scenario {
  readonly deployment: Deployment;
  /** Arrivals at a gateway relative to the usual rate. */
  readonly loadAt: (atMs: number, gateway: number) => number;
  readonly gatewayWeights: readonly number[];
  readonly organisationWeights: readonly number[];
  /** Share of callers that repeat at once, up to five times. */
  readonly abusiveShare: number;
  readonly peerDelayMs: () => number;
  readonly lossShare: number;
  readonly incident: Incident;
  readonly incidentAtMs: number;
}

/** Draws the scenario of a pattern. */
export type Pattern = (random: Random) => Scenario;

/** A request as its caller plans it. */
export interface PlannedRequest {
  readonly id: number;
  readonly kind: RequestKind;
  readonly organisation: number;
  readonly gateway: number;
  readonly isAbusive: boolean;
  readonly arrivesAtMs: number;
  readonly deadlineAtMs: number;
  readonly promptTokens: number;
  readonly eventCount: number;
  /** Right at the median; absent for a tenth of the streams. */
  readonly answerTokensHint?: number;
}

/** Gateways know each other and the targets by then. */
export const TRAFFIC_FROM_MS = 1_500;

/** End of the arrivals: more than a period of the swing. */
export const TRAFFIC_UNTIL_MS = 15_000;

const SWING_MS = 13_000;

const MAX_PROMPT_TOKENS = 2_880;

const SHARED_TOKENS = 40;

/** Events of an answer at most. */
export const MAX_EVENTS = 58;

const STEP_MS = 10;

/** Load of the patterns without a load of their own, relative to the rates of the work plan. */
const USUAL_LOAD = 1.2;

const BURST_FROM_MS = 7_000;

const BURST_UNTIL_MS = 13_000;

/** A few organisations are large. */
const SKEWED: readonly number[] = Array.from(
  { length: ORGANISATION_COUNT },
  (_, index) => 1 / (index + 1),
);

const calm = (deployment: Deployment, random: Random): Scenario => ({
  deployment,
  loadAt: () => USUAL_LOAD,
  gatewayWeights: Array.from({ length: deployment.gatewayCount }, () => 1),
  organisationWeights: SKEWED,
  abusiveShare: 0.02,
  // With it, ranks reject a few requests in 100, because gateways take the same slot.
  peerDelayMs: () => 10 + 30 * random(),
  lossShare: 0.01,
  incident: Incident.None,
  incidentAtMs: BURST_FROM_MS,
});

const swing: Pattern = (random) => {
  const bursts = Array.from({ length: 3 }, (_, index) => ({
    fromMs: TRAFFIC_FROM_MS + (index + random()) * 4_500,
    factor: 1.5 + random(),
  }));
  return {
    ...calm(CAPTIONS, random),
    loadAt: (atMs, gateway) => {
      const phase = (atMs / SWING_MS + (gateway % 3) / 12) * 2 * Math.PI;
      const burst = bursts.find(({ fromMs }) => atMs >= fromMs && atMs < fromMs + 1_000);
      return USUAL_LOAD * (1 + 0.55 * Math.sin(phase)) * (burst?.factor ?? 1);
    },
  };
};

/** All patterns by name. */
export const PATTERNS: Readonly<Record<string, Pattern>> = {
  swing,
  unlike: (random) => ({
    ...calm(PARKING, random),
    gatewayWeights: Array.from({ length: PARKING.gatewayCount }, () => 0.35 + random()),
    loadAt: (atMs) => 1.6 + 0.5 * Math.sin((atMs / SWING_MS) * 2 * Math.PI),
  }),
  abusive: (random) => ({ ...calm(CAPTIONS, random), abusiveShare: 0.4, loadAt: () => 2 }),
  'one-large': (random) => ({
    ...calm(CAPTIONS, random),
    organisationWeights: SKEWED.map((_, index) => (index === 0 ? 4 * ORGANISATION_COUNT : 1)),
    loadAt: () => 2,
  }),
  burst: (random) => ({
    ...calm(CAPTIONS, random),
    loadAt: (atMs) => USUAL_LOAD * (atMs >= BURST_FROM_MS && atMs < BURST_UNTIL_MS ? 1.7 : 1),
  }),
  'half-empty': (random) => ({ ...calm(PARKING, random), incident: Incident.HalfPoolReturns }),
  restart: (random) => ({ ...calm(CAPTIONS, random), incident: Incident.AllRestart }),
  'store-lost': (random) => ({ ...calm(CAPTIONS, random), incident: Incident.StoreLost }),
  'late-loads': (random) => ({
    ...swing(random),
    peerDelayMs: () => 200 + 1_800 * random(),
    lossShare: 0.3,
  }),
};

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

const pick = (weights: readonly number[], random: Random): number => {
  let left = random() * sum(weights);
  return weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
};

/** Draws a number with this mean and a heavy tail, up to a maximum. */
const drawSize = (mean: number, max: number, random: Random): number => {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.min(max, Math.max(1, Math.round(mean * Math.exp(0.6 * normal - 0.18))));
};

/**
 * Draws the requests of a scenario in the order of their arrival.
 *
 * @example
 * drawRequests(scenario, createRandom(1)).length;
 */
export const drawRequests = (scenario: Scenario, random: Random): readonly PlannedRequest[] => {
  const { deployment, gatewayWeights, organisationWeights, abusiveShare } = scenario;
  const meanWeight = sum(gatewayWeights) / gatewayWeights.length;
  const requests: PlannedRequest[] = [];
  const draw = (kind: RequestKind, gateway: number, arrivesAtMs: number): void => {
    const isStream = kind.promptMean > 0;
    const eventCount = drawSize(kind.eventMean, MAX_EVENTS, random);
    const hint = drawSize(1.2 * eventCount * deployment.group.stepsPerPass, 1_000, random);
    requests.push({
      ...{ id: requests.length, kind, gateway, arrivesAtMs },
      organisation: pick(organisationWeights, random),
      isAbusive: random() < abusiveShare,
      deadlineAtMs: arrivesAtMs + kind.timeoutMs - (isStream ? 500 * random() : 0),
      promptTokens: isStream
        ? SHARED_TOKENS + drawSize(kind.promptMean, MAX_PROMPT_TOKENS, random)
        : 0,
      eventCount,
      ...(isStream && random() < 0.9 ? { answerTokensHint: hint } : {}),
    });
  };
  for (let atMs = TRAFFIC_FROM_MS; atMs < TRAFFIC_UNTIL_MS; atMs += STEP_MS) {
    gatewayWeights.forEach((weight, gateway) =>
      deployment.kinds.forEach((kind) => {
        const share = weight / meanWeight / gatewayWeights.length;
        const expected = (kind.perSecond / 1_000) * STEP_MS * share;
        if (random() < expected * scenario.loadAt(atMs, gateway)) {
          draw(kind, gateway, atMs + STEP_MS * random());
        }
      }),
    );
  }
  return requests;
};
