/** @module Builds an emulated fleet: entry processes, and targets with their sidecars. */
import type { AnyRegistration } from '@ebonysill/core';
import { createEntryServices, type ChooseTarget } from '@ebonysill/entry';
import { createSidecarServices, type KeyLedgerLimits } from '@ebonysill/sidecar';
import type { EmulatedProcess } from './emulated-process.js';
import { Emulation, type EmulationOptions } from './emulation.js';
import type { FakeTarget, FakeTargetOptions } from './fake-target.js';
import { buildFleetConfiguration, type FleetShape } from './fleet-configuration.js';

/** What a fleet is created from. */
export interface FleetOptions extends EmulationOptions {
  readonly shape: FleetShape;
  readonly entryCount: number;
  /** Behaviour of the targets of a service. */
  readonly targetOptions: (
    service: string,
    targetId: string,
  ) => Omit<FakeTargetOptions, 'time' | 'onRan' | 'targetId'>;
  readonly chooseTarget?: ChooseTarget;
  readonly maxInProgress?: number;
  /** Entry processes that read the configuration service; all unless told otherwise. */
  readonly readerCount?: number;
  readonly ledgerLimits?: KeyLedgerLimits;
  /** Changes the services of a process; for known-bad variants. */
  readonly alterServices?: (services: readonly AnyRegistration[]) => readonly AnyRegistration[];
}

/** A running fleet. */
export interface Fleet {
  readonly emulation: Emulation;
  readonly entries: readonly EmulatedProcess[];
  readonly sidecars: readonly EmulatedProcess[];
  readonly targets: readonly FakeTarget[];
  /** Publishes the configuration with some zones out of service. */
  readonly publish: (revision: number, zonesOutOfService: readonly string[]) => void;
}

/** Requests in progress at an entry process unless told otherwise. */
const DEFAULT_MAX_IN_PROGRESS = 10_000;

/** Time for links and configuration to settle. */
const STARTUP_MS = 1_000;

const keepServices = (services: readonly AnyRegistration[]): readonly AnyRegistration[] => services;

/**
 * Creates a fleet, starts every process and lets it settle.
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
