import { Continuation, DuplicateCheck, type Effect } from '@ebonysill/core';
import {
  CallerAgent,
  createFleet,
  modelService,
  plainService,
  type Fleet,
  type FleetOptions,
} from '@ebonysill/emulator';

export const MODEL = 'assistant';

export const PLAIN = 'enrolment';

export const ZONES: readonly string[] = ['zone-a', 'zone-b', 'zone-c'];

/** Options that scenarios vary; all other settings are the same for all. */
export interface ScenarioOptions {
  readonly seed?: number;
  readonly targetsPerZone?: number;
  readonly entryCount?: number;
  readonly chunkCount?: number;
  readonly coldMs?: number;
  readonly maxInProgress?: number;
  readonly alterEffect?: (effect: Effect) => Effect;
  readonly onStep?: NonNullable<FleetOptions['onStep']>;
  /** Time for which a target holds each call before it runs it. */
  readonly holdMsOf?: (targetId: string) => number;
  readonly isStalled?: (exchangeId: string) => boolean;
  readonly ledgerLimits?: NonNullable<FleetOptions['ledgerLimits']>;
  readonly network?: NonNullable<FleetOptions['network']>;
}

export const startScenario = (options: ScenarioOptions): Fleet => {
  const {
    seed = 5,
    targetsPerZone = 2,
    entryCount = 3,
    chunkCount = 10,
    coldMs = 0,
    holdMsOf = () => 5,
  } = options;
  return createFleet({
    ...options,
    seed,
    entryCount,
    shape: {
      zones: ZONES,
      targetsPerZone,
      services: [
        modelService(MODEL, Continuation.Resume),
        plainService(PLAIN, DuplicateCheck.None),
      ],
      organisations: ['large', 'small'],
      concurrency: 8,
      coldConcurrency: 2,
    },
    targetOptions: (_service, targetId) => ({
      holdMs: holdMsOf(targetId),
      chunkCount,
      chunkIntervalMs: 20,
      executedKeys: undefined,
      coldMs,
      coldConcurrency: 2,
      healthLagMs: 0,
    }),
  });
};

/** Starts one caller per interval, through the entry processes in turn. */
export const sendStreams = (
  fleet: Fleet,
  count: number,
  intervalMs: number,
  organisationId = 'large',
): CallerAgent[] => {
  const agents: CallerAgent[] = [];
  Array.from({ length: count }, (_, index) =>
    fleet.emulation.time.schedule(index * intervalMs, () => {
      agents.push(
        CallerAgent.create(fleet.emulation, {
          service: MODEL,
          body: `${organisationId}-${index}`,
          organisationId,
          isKeyed: false,
          entryIds: [fleet.entries[index % fleet.entries.length]?.processId ?? ''],
          maxSends: 1,
          answerTimeoutMs: 30_000,
        }),
      );
    }),
  );
  return agents;
};
