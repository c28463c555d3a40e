/** @module Creates an emulated fleet: entry processes, and targets with their sidecars. */
import type { AnyRegistration } from '@ebonysill/core';
import { createEntryServices, type ChooseTarget } from '@ebonysill/entry';
import { createSidecarServices, type KeyLedgerLimits } from '@ebonysill/sidecar';
import type { EmulatedProcess } from './emulated-process.js';
import { Emulation, type EmulationOptions } from './emulation.js';
import type { FakeTarget, FakeTargetOptions } from './fake-target.js';
import { buildFleetConfiguration, type FleetShape } from './fleet-configuration.js';

/** Size, services and behaviour of an emulated fleet. */
export interface FleetOptions extends EmulationOptions {
  readonly shape: FleetShape;
  readonly entryCount: number;
  /** Behaviour of the targets of a service. */
  readonly targetOptions: (
    service: string,
    targetId: string,
  ) => Omit<FakeTargetOptions, 'time' | 'onRan' | 'targetId'>;
  readonly chooseTarget?: ChooseTarget;
  /** Requests in progress at one entry process. */
  readonly maxInProgress?: number;
  /** Number of entry processes that read the configuration service; all by default. */
  readonly readerCount?: number;
  readonly ledgerLimits?: KeyLedgerLimits;
  /** Replaces services of a process; used for deliberately faulty variants. */
  readonly alterServices?: (services: readonly AnyRegistration[]) => readonly AnyRegistration[];
}

/** A running fleet. */
export interface Fleet {
  readonly emulation: Emulation;
  readonly entries: readonly EmulatedProcess[];
  readonly sidecars: readonly EmulatedProcess[];
  readonly targets: readonly FakeTarget[];
  /** Publishes the configuration at a new revision, with the given zones out of service. */
  readonly publish: (revision: number, zonesOutOfService: readonly string[]) => void;
}

const DEFAULT_MAX_IN_PROGRESS = 10_000;

/** Time in which links open and the configuration reaches every process. */
const STARTUP_MS = 1_000;

const keepServices = (services: readonly AnyRegistration[]): readonly AnyRegistration[] => services;

/**
 * Creates a fleet, starts every process and runs it until links and configuration are in place.
 *
 * @example
 * const fleet = createFleet({ seed: 1, shape, entryCount: 2, targetOptions });
 */
export const createFleet = (options: FleetOptions): Fleet => {
  const emulation = Emulation.create(options);
  const { shape, targetOptions, chooseTarget, alterServices = keepServices } = options;
  const configuration = buildFleetConfiguration(shape, 1, []);
  const sidecars = configuration.targets.map(({ targetId, availabilityZone, ...target }) => {
    const { ledgerLimits } = options;
    const sidecar = emulation.addProcess({
      processId: targetId,
      availabilityZone,
      createServices: (runtime) =>
        alterServices(
          createSidecarServices({
            runtime,
            targetId,
            availabilityZone,
            ...(ledgerLimits === undefined ? {} : { ledgerLimits }),
          }),
        ),
    });
    emulation.network.listen(target.sidecarHost, target.sidecarPort, sidecar);
    emulation.addTarget({ targetId, ...targetOptions(target.service, targetId) });
    return sidecar;
  });
  const seeds = configuration.targets.map(({ targetId, sidecarHost, sidecarPort }) => ({
    targetId,
    host: sidecarHost,
    port: sidecarPort,
  }));
  const entries = Array.from({ length: options.entryCount }, (_, index) => {
    const processId = `entry-${index + 1}`;
    const availabilityZone = shape.zones[index % shape.zones.length] ?? '';
    return emulation.addProcess({
      processId,
      availabilityZone,
      createServices: (runtime) =>
        alterServices(
          createEntryServices({
            runtime,
            processId,
            availabilityZone,
            isReader: index < (options.readerCount ?? options.entryCount),
            maxInProgress: options.maxInProgress ?? DEFAULT_MAX_IN_PROGRESS,
            seeds: seeds.slice(0, 1),
            ...(chooseTarget === undefined ? {} : { chooseTarget }),
          }),
        ),
    });
  });
  const publish = (revision: number, zonesOutOfService: readonly string[]): void =>
    emulation.configurationService.publish(
      buildFleetConfiguration(shape, revision, zonesOutOfService),
    );
  publish(1, []);
  [...sidecars, ...entries].forEach((process) => process.start());
  emulation.runFor(STARTUP_MS);
  return { emulation, entries, sidecars, targets: emulation.targets, publish };
};
