/** @module Creates an emulated group of ranks with the processes beside them. */
import type { Configuration } from '@ebonysill/core';
import { createRankServices, initialMap, type Propose, type RankOptions } from '@ebonysill/experts';
import type { EmulatedProcess } from './emulated-process.js';
import { Emulation, type EmulationOptions } from './emulation.js';
import { FakeRankGroup, type FakeRankGroupOptions } from './fake-rank-group.js';
import { EMULATED_HOST } from './fleet-configuration.js';

/** Size and behaviour of an emulated group of ranks. */
export interface RankFleetOptions extends EmulationOptions {
  readonly rankCount: number;
  readonly layerCount: number;
  readonly expertCount: number;
  readonly loadMs: number;
  readonly propose: (rank: number) => Propose;
  readonly countsAt: FakeRankGroupOptions['countsAt'];
  readonly stepMs: FakeRankGroupOptions['stepMs'];
  /** Overrides of the gate and driver rules; any other than the defaults is deliberately faulty. */
  readonly rules?: Partial<Pick<RankOptions, 'mustHold' | 'waitsAfterRestart' | 'hasQuorum'>>;
}

/** A running group. */
export interface RankFleet {
  readonly emulation: Emulation;
  readonly processes: readonly EmulatedProcess[];
  readonly group: FakeRankGroup;
}

const FIRST_PORT = 20_000;

const rankIdOf = (rank: number): string => `rank-${rank}`;

const configurationOf = (rankCount: number): Configuration => ({
  revision: 1,
  availabilityZones: [],
  services: [],
  targets: [],
  organisations: [],
  groups: [
    {
      groupId: 'group',
      ranks: Array.from({ length: rankCount }, (_, rank) => ({
        rankId: rankIdOf(rank),
        sidecarHost: EMULATED_HOST,
        sidecarPort: FIRST_PORT + rank,
      })),
    },
  ],
});

/**
 * Creates a group and starts its processes and ranks.
 *
 * @example
 * const { group, emulation } = createRankFleet(options);
 */
export const createRankFleet = (options: RankFleetOptions): RankFleet => {
  let onRankEffect: FakeRankGroup['onEffect'] = () => undefined;
  const emulation = Emulation.create({
    ...options,
    onRankEffect: (process, effect) => onRankEffect(process, effect),
  });
  const processes = Array.from({ length: options.rankCount }, (_, rank) => {
    const process = emulation.addProcess({
      processId: rankIdOf(rank),
      availabilityZone: 'zone-a',
      createServices: (runtime) =>
        createRankServices({
          runtime,
          rankId: rankIdOf(rank),
          availabilityZone: 'zone-a',
          isReader: true,
          propose: options.propose(rank),
          ...options.rules,
        }),
    });
    emulation.network.listen(EMULATED_HOST, FIRST_PORT + rank, process);
    return process;
  });
  emulation.configurationService.publish(configurationOf(options.rankCount));
  const group = FakeRankGroup.create({
    ...options,
    time: emulation.time,
    processes,
    initialMap: initialMap(options),
  });
  onRankEffect = group.onEffect;
  processes.forEach((process) => process.start());
  group.start();
  return { emulation, processes, group };
};
