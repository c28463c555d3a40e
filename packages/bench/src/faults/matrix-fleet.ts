/** @module The fleet on which the fault matrix runs. */
import { Continuation, DuplicateCheck, type ServiceConfiguration } from '@ebonysill/core';
import {
  createFleet,
  modelService,
  plainService,
  type Fleet,
  type FleetOptions,
} from '@ebonysill/emulator';
import type FaultInjector from './FaultInjector.js';
import { RequestKind } from './fault-kind.js';

/** Number of chunks in every answer. */
export const CHUNK_COUNT = 6;

/** Organisation of every caller. */
export const ORGANISATION = 'caller';

const CHUNK_INTERVAL_MS = 20;

/** Time for which a target holds a call before it runs it. */
const HOLD_MS = 5;

/** As `HOLD_MS`, for `RequestKind.HeldCall`. */
const LONG_HOLD_MS = 700;

/** Time for which a target stays cold after it has started or turned cold. */
const COLD_MS = 300;

const ZONES: readonly string[] = ['zone-a', 'zone-b', 'zone-c'];

const serviceOf = (kind: RequestKind): ServiceConfiguration => {
  switch (kind) {
    case RequestKind.ResumedStream:
      return modelService(kind, Continuation.Resume);
    case RequestKind.RestartedStream:
      return modelService(kind, Continuation.DeterministicRestart);
    case RequestKind.PlainStream:
      return modelService(kind, Continuation.None);
    case RequestKind.KeyedCall:
    case RequestKind.RacedCall:
    case RequestKind.HeldCall:
      return plainService(kind, DuplicateCheck.None);
    case RequestKind.CheckedCall:
      return plainService(kind, DuplicateCheck.Key);
    default:
      return kind satisfies never;
  }
};

/** Changes to the fleet that make a known-bad variant; empty for the system as it is. */
export type FleetVariant = Pick<FleetOptions, 'alterEffect' | 'alterServices'> & {
  /** Whether targets configured to check for duplicate keys ignore them; false by default. */
  readonly ignoresKeys?: boolean;
};

/**
 * Starts the fleet for requests of one kind.
 *
 * @example
 * const fleet = startMatrixFleet(RequestKind.KeyedCall, 1, injector, {});
 */
export const startMatrixFleet = (
  kind: RequestKind,
  seed: number,
  injector: FaultInjector,
  { ignoresKeys = false, ...variant }: FleetVariant,
): Fleet => {
  const executedKeys =
    kind === RequestKind.CheckedCall && !ignoresKeys ? new Set<string>() : undefined;
  return createFleet({
    seed,
    ...variant,
    entryCount: 2,
    network: { deliveryOf: injector.takeDelivery, isConnected: injector.isConnected },
    onStep: injector.onStep,
    shape: {
      zones: ZONES,
      targetsPerZone: 1,
      services: [serviceOf(kind)],
      organisations: [ORGANISATION],
      concurrency: 8,
      coldConcurrency: 2,
    },
    targetOptions: () => ({
      holdMs: kind === RequestKind.HeldCall ? LONG_HOLD_MS : HOLD_MS,
      chunkCount: CHUNK_COUNT,
      chunkIntervalMs: CHUNK_INTERVAL_MS,
      executedKeys,
      coldMs: COLD_MS,
      coldConcurrency: 2,
      healthLagMs: 0,
    }),
  });
};
