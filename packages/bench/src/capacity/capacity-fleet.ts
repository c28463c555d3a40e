/** @module Emulated fleets of given sizes for capacity measurements. */
import { Continuation } from '@ebonysill/core';
import { createFleet, modelService, type EmulationOptions, type Fleet } from '@ebonysill/emulator';

/** Size of a fleet. */
export interface CapacitySize {
  readonly entryCount: number;
  readonly serviceCount: number;
  readonly targetsPerService: number;
  readonly organisationCount: number;
}

/** Size of the fleet in dimensions that a measurement does not vary. */
export const BASE_SIZE: CapacitySize = {
  entryCount: 2,
  serviceCount: 1,
  targetsPerService: 8,
  organisationCount: 10,
};

const CONCURRENCY = 64;

const CHUNK_COUNT = 500;

const CHUNK_INTERVAL_MS = 79;

/** Name of the service with this index, from 0. */
export const capacityServiceName = (index: number): string => `model-${index}`;

/**
 * Starts a fleet in one zone; by default every entry process reads the configuration service.
 *
 * @example
 * const fleet = startCapacityFleet({ ...BASE_SIZE, entryCount: 16 }, {});
 */
export const startCapacityFleet = (
  size: CapacitySize,
  options: Partial<EmulationOptions>,
  readerCount = size.entryCount,
): Fleet =>
  createFleet({
    seed: 1,
    readerCount,
    ...options,
    entryCount: size.entryCount,
    shape: {
      zones: ['zone-a'],
      targetsPerZone: size.targetsPerService,
      services: Array.from({ length: size.serviceCount }, (_, index) =>
        modelService(capacityServiceName(index), Continuation.Resume),
      ),
      organisations: Array.from({ length: size.organisationCount }, (_, index) => `org-${index}`),
      concurrency: CONCURRENCY,
      coldConcurrency: 2,
    },
    targetOptions: () => ({
      holdMs: 50,
      chunkCount: CHUNK_COUNT,
      chunkIntervalMs: CHUNK_INTERVAL_MS,
      executedKeys: undefined,
      coldMs: 0,
      coldConcurrency: 2,
      healthLagMs: 0,
    }),
  });
