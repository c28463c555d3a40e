/** @module The two deployments that the experiment imitates, as the work plan describes them. */
import {
  CallKind,
  ItemKind,
  ItemScope,
  TargetPhase,
  type Route,
  type StoreItem,
} from '@ebonysill/gateway';
import type { GroupProfile } from './EngineGroup.js';

/** Requests of one route. */
export interface RequestKind {
  readonly name: string;
  readonly callKind: CallKind;
  readonly perSecond: number;
  /** Worth of an answer in time. */
  readonly worth: number;
  /** Share of the worth that a late answer has. */
  readonly lateShare: number;
  readonly priority: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  /** Mean of a prompt's own tokens; 0 for plain calls. */
  readonly promptMean: number;
  readonly eventMean: number;
}

/** Sizes and traffic of a deployment. */
export interface Deployment {
  readonly gatewayCount: number;
  readonly groupCount: number;
  readonly group: GroupProfile;
  /** Tokens that a rank keeps in memory, as published. */
  readonly kvCacheTokens: number;
  readonly kinds: readonly RequestKind[];
}

/** Longest pause between the events of a stream that meets the objective. */
export const MAX_PAUSE_MS = 120;

/** Mean of the prompts of all kinds, with the shared tokens. */
const USUAL_PROMPT_TOKENS = 835;

/** Organisations of each deployment. */
export const ORGANISATION_COUNT = 24;

/** Targets of the plain service. */
export const PLAIN_COUNT = 3;

/** The work plan gives no value; with this one, the peaks of the swing make passes long on captions. */
const PER_SEQUENCE_MS = 1;

const GROUP = { slots: 7, queueSlots: 2, stepsPerPass: 4, perSequenceMs: PER_SEQUENCE_MS };

/** A plain target is a rank of its own that answers with the last of its events, here 20 steps. */
export const PLAIN: GroupProfile = {
  rankCount: 1,
  slots: 6,
  queueSlots: 6,
  stepsPerPass: 1,
  stepMs: 1.07,
  perSequenceMs: 0,
  readTokensPerMs: 1,
};

type StreamRow = readonly [string, number, number, number, number, number];

const STREAM = { callKind: CallKind.Streaming, timeoutMs: 8_000, eventMean: 23 };

/** Streams of the kinds in the rows, at some share of their rates. */
const streamsOf = (
  { lateShare, rateShare }: { readonly lateShare: number; readonly rateShare: number },
  rows: readonly StreamRow[],
): readonly RequestKind[] =>
  rows.map(([name, perSecond, worth, priority, objectiveMs, promptMean]) => ({
    ...{ ...STREAM, name, perSecond: perSecond * rateShare, worth, lateShare },
    ...{ priority, objectiveMs, promptMean },
  }));

const callOf = (callKind: CallKind, perSecond: number, lateShare: number): RequestKind => ({
  ...{ name: callKind, callKind, perSecond, worth: 1, lateShare, priority: 1 },
  ...{ objectiveMs: 144, timeoutMs: 800, promptMean: 0, eventMean: 20 },
});

/** Six gateways, kinds of equal worth; two of the three groups of ranks, with their traffic. */
export const CAPTIONS: Deployment = {
  gatewayCount: 6,
  groupCount: 2,
  kvCacheTokens: 217_000,
  group: { ...GROUP, rankCount: 24, stepMs: 5.85, readTokensPerMs: 61.2 },
  kinds: [
    ...streamsOf({ lateShare: 0.5, rateShare: 2 / 3 }, [
      ['stream-1', 75.2, 1, 1, 403, 674],
      ['stream-2', 57.2, 1, 1, 503, 960],
      ['stream-3', 33.1, 1, 1, 403, 787],
    ]),
    callOf(CallKind.NonIdempotent, 14.2, 0.1),
    callOf(CallKind.Idempotent, 5.67, 0.1),
  ],
};

/** 22 gateways, three priorities; half of the one large group, with its traffic. */
export const PARKING: Deployment = {
  gatewayCount: 22,
  groupCount: 1,
  kvCacheTokens: 288_166,
  group: { ...GROUP, rankCount: 36, stepMs: 4.84, readTokensPerMs: 74.8 },
  kinds: [
    ...streamsOf({ lateShare: 0.33, rateShare: 1 / 2 }, [
      ['urgent', 86.2, 2.9, 0, 403, 674],
      ['usual', 65.9, 1.5, 1, 403, 960],
      ['batch', 38.1, 0.76, 2, 803, 787],
    ]),
    callOf(CallKind.NonIdempotent, 16.3, 0.5),
    callOf(CallKind.Idempotent, 6.53, 0.5),
  ],
};

const routeOf = (kind: RequestKind): Route => ({
  ...{ name: kind.name, host: 'app.example', pathPrefix: `/${kind.name}/`, kind: kind.callKind },
  services: [{ service: kind.promptMean > 0 ? 'model' : 'plain', weight: 1 }],
  ...{ timeoutMs: kind.timeoutMs, objectiveMs: kind.objectiveMs, priority: kind.priority },
  maxPauseMs: kind.promptMean > 0 ? MAX_PAUSE_MS : 0,
  ...{ maxAttempts: 2, isPublic: false, isResumable: false },
});

/**
 * Store item with the configuration of a deployment.
 *
 * @example
 * configurationItemOf(CAPTIONS);
 */
export const configurationItemOf = ({ kinds, group, kvCacheTokens }: Deployment): StoreItem => ({
  kind: ItemKind.Configuration,
  scope: ItemScope.Configuration,
  configuration: {
    version: 1,
    routes: kinds.map(routeOf),
    services: [
      { name: 'plain', healthPath: '/health', coldPerSecond: 0 },
      {
        ...{ name: 'model', healthPath: '/health', coldPerSecond: 0 },
        engine: {
          ...group,
          readTokensPerSecond: group.readTokensPerMs * 1_000,
          ...{ chunkTokens: 512, contextPerThousand: 0, pairsPerMillion: 0, kvCacheTokens },
          usual: { promptTokens: USUAL_PROMPT_TOKENS, answerTokens: 23 * group.stepsPerPass },
          ...{ expertFraction: 0, layerSetCount: 0, expertCount: 0 },
          ...{ placesPerRank: 0, spareCapacity: 0, expertCopyMs: 0 },
        },
      },
    ],
    needsCredentials: true,
    organisations: Array.from({ length: ORGANISATION_COUNT }, (_, index) => ({
      name: `organisation-${index}`,
      credentials: [`key-${index}`],
    })),
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304 },
      ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    },
  },
});

/**
 * Name of the availability zone of the gateway or target with this number.
 *
 * @example
 * zoneOf(4); // 'zone-1'
 */
export const zoneOf = (index: number): string => `zone-${index % 3}`;

/**
 * Store items of a group's ranks; a plain target is the only rank of its group.
 *
 * @example
 * targetItemsOf('model', 'group-0', CAPTIONS.group);
 */
export const targetItemsOf = (
  service: string,
  groupName: string,
  { rankCount, slots }: GroupProfile,
): readonly StoreItem[] =>
  Array.from({ length: rankCount }, (_, index) => ({
    kind: ItemKind.Target,
    scope: ItemScope.Target,
    target: {
      ...{ instanceId: `${groupName}/${index}`, address: `${groupName}/${index}`, service, slots },
      ...{ availabilityZone: zoneOf(index), phase: TargetPhase.Available, coldRemainingMs: 0 },
    },
  }));
