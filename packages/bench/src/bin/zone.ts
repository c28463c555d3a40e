#!/usr/bin/env node
/** @module Measures service while a zone is lost or taken out, and once it is available again. */
import {
  CallerAgent,
  AnswerState,
  createFleet,
  modelService,
  type Fleet,
} from '@ebonysill/emulator';
import { Continuation } from '@ebonysill/core';

const ZONES: readonly string[] = ['kochi', 'thrissur', 'kozhikode'];

const SERVICE = 'listing-writer';

const SEED = 1;

/** Time between requests, which go to the entry processes in turn. */
const INTERVAL_MS = 12;

const DURATION_MS = 40_000;

/** Time of the change, from the first request. */
const CHANGE_AT_MS = 10_000;

/** Time at which the change is undone, from the first request. */
const RETURN_AT_MS = 25_000;

/** Resolution of the recovery time. */
const WINDOW_MS = 500;

const FIRST_TOKEN_OBJECTIVE_MS = 420;

const COLD_MS = 4_000;

/** A change to the first zone, and how it is undone. */
interface ZoneChange {
  readonly name: string;
  readonly begin: (fleet: Fleet) => void;
  readonly end: (fleet: Fleet) => void;
}

const sidecarsInZone = (fleet: Fleet): Fleet['sidecars'] =>
  fleet.sidecars.filter(({ availabilityZone }) => availabilityZone === ZONES[0]);

const CHANGES: readonly ZoneChange[] = [
  { name: 'no change', begin: () => undefined, end: () => undefined },
  {
    name: 'taken out by operators',
    begin: (fleet) => fleet.publish(2, [ZONES[0] ?? '']),
    end: (fleet) => {
      sidecarsInZone(fleet).forEach(({ processId }) =>
        fleet.emulation.target(processId).turnCold(),
      );
      // Meanwhile, the sidecars read the health of their targets and find them cold.
      fleet.emulation.runFor(600);
      fleet.publish(3, []);
    },
  },
  {
    name: 'lost at once',
    begin: (fleet) => {
      sidecarsInZone(fleet).forEach((sidecar) => {
        sidecar.kill();
        fleet.emulation.target(sidecar.processId).crash();
      });
    },
    end: (fleet) => {
      sidecarsInZone(fleet).forEach((sidecar) => {
        fleet.emulation.target(sidecar.processId).restart();
        sidecar.start();
      });
    },
  },
];

const startFleet = (): Fleet =>
  createFleet({
    seed: SEED,
    entryCount: 3,
    shape: {
      zones: ZONES,
      targetsPerZone: 4,
      services: [modelService(SERVICE, Continuation.Resume)],
      organisations: ['organiser'],
      concurrency: 8,
      coldConcurrency: 2,
    },
    targetOptions: () => ({
      holdMs: 60,
      chunkCount: 12,
      chunkIntervalMs: 25,
      executedKeys: undefined,
      coldMs: COLD_MS,
      coldConcurrency: 2,
      healthLagMs: 0,
    }),
  });

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
};

const firstTokenMs = ({ finalAnswer }: CallerAgent): number =>
  finalAnswer?.firstChunkAtMs === undefined
    ? Infinity
    : finalAnswer.firstChunkAtMs - finalAnswer.sentAtMs;

/** Time from the change to the end of the last window with a request whose first token was late. */
const recoveryMs = (agents: readonly CallerAgent[], startMs: number, changeMs: number): number => {
  const late = agents
    .filter((agent) => firstTokenMs(agent) > FIRST_TOKEN_OBJECTIVE_MS)
    .map(({ finalAnswer }) => (finalAnswer?.sentAtMs ?? 0) - startMs - changeMs)
    .filter((sinceMs) => sinceMs >= 0 && sinceMs < RETURN_AT_MS - CHANGE_AT_MS);
  return late.length === 0 ? 0 : Math.ceil(Math.max(...late) / WINDOW_MS) * WINDOW_MS;
};

const measure = ({ name, begin, end }: ZoneChange): void => {
  const fleet = startFleet();
  const { emulation } = fleet;
  emulation.runFor(COLD_MS + 1_000);
  const startMs = emulation.time.nowMs;
  const agents: CallerAgent[] = [];
  Array.from({ length: DURATION_MS / INTERVAL_MS }, (_, index) =>
    emulation.time.schedule(index * INTERVAL_MS, () => {
      agents.push(
        CallerAgent.create(emulation, {
          service: SERVICE,
          body: `blurb-${index}`,
          organisationId: 'organiser',
          isKeyed: false,
          entryIds: [`entry-${(index % ZONES.length) + 1}`],
          maxSends: 1,
          answerTimeoutMs: 60_000,
        }),
      );
    }),
  );
  emulation.runFor(CHANGE_AT_MS);
  begin(fleet);
  emulation.runFor(RETURN_AT_MS - CHANGE_AT_MS);
  end(fleet);
  emulation.runFor(DURATION_MS);
  const served = agents.filter(({ finalAnswer }) => finalAnswer?.state === AnswerState.Ended);
  const times = served.map(firstTokenMs);
  const late = times.filter((timeMs) => timeMs > FIRST_TOKEN_OBJECTIVE_MS).length;
  const crashes = fleet.targets.reduce((sum, { crashCount }) => sum + crashCount, 0);
  process.stdout.write(
    `${name.padEnd(24)} served ${((100 * served.length) / agents.length).toFixed(2)} % of ` +
      `${agents.length}  first token p50 ${percentile(times, 0.5).toFixed(0)} ms  p99 ` +
      `${percentile(times, 0.99).toFixed(0)} ms  over 420 ms ` +
      `${((100 * late) / agents.length).toFixed(2)} %  recovered after ` +
      `${recoveryMs(agents, startMs, CHANGE_AT_MS)} ms  target crashes ${crashes}\n`,
  );
};

CHANGES.forEach(measure);
