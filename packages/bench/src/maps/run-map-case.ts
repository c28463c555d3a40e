/** @module Runs one case of the fault matrix for map changes and checks the invariants. */
import type { ExpertMap } from '@ebonysill/core';
import {
  DeliveryOutcome,
  createRankFleet,
  type EmulatedProcess,
  type Delivery,
  type RankFleet,
  type RankFleetOptions,
  type UpcomingStep,
} from '@ebonysill/emulator';
import { MapFault, Proposers, type MapCase } from './map-case.js';

/** Invariants of a group of ranks; the value describes the violation. */
export enum MapInvariant {
  OneMapPerStep = 'ranks used different maps in one step',
  StepsContinue = 'the group did not go on after the faults',
  ChangesContinue = 'no change took effect after the faults',
}

/** Result of a map case. */
export interface MapCaseResult {
  readonly violations: readonly MapInvariant[];
  /** Whether the step of the planned fault occurred. */
  readonly wasInjected: boolean;
  /** Engine steps of the whole run. */
  readonly stepCount: number;
}

/** Rules of gates and drivers that a known-bad variant replaces. */
export type MapRules = NonNullable<RankFleetOptions['rules']>;

const RANK_COUNT = 5;

const EXPERT_COUNT = 10;

const STEP_MS = 10;

/** Time that a rank needs to load the weights of a map. */
const LOAD_MS = 150;

/** Time during which the fault may be injected. */
const FAULT_PHASE_MS = 15_000;

/** Time for the group to recover once the fault is cleared. */
const RECOVERY_MS = 10_000;

/** Time within which the recovered group must take steps and change its map. */
const PROBE_MS = 5_000;

const RESTART_MS = 300;

const PAUSE_MS = 3_000;

const PARTITION_MS = 3_000;

const LATE_DELAY_MS = 2_500;

/** Delay of a reordered message, and between the two copies of a duplicated message. */
const REORDER_DELAY_MS = 40;

const DELIVERED: Delivery = { kind: DeliveryOutcome.Delivered, delayMs: 0 };

const MESSAGE_DELIVERIES: Partial<Readonly<Record<MapFault, Delivery>>> = {
  [MapFault.MessageLost]: { kind: DeliveryOutcome.Lost, delayMs: 0 },
  [MapFault.MessageDuplicated]: { kind: DeliveryOutcome.Duplicated, delayMs: REORDER_DELAY_MS },
  [MapFault.MessageReordered]: { kind: DeliveryOutcome.Reordered, delayMs: REORDER_DELAY_MS },
  [MapFault.MessageLate]: { kind: DeliveryOutcome.Late, delayMs: LATE_DELAY_MS },
};

/** Shifts the placements by one expert, which gives a valid map that differs from the current one. */
const rotate = ({ mapId, layers }: ExpertMap): ExpertMap => ({
  mapId,
  layers: layers.map((layer) => [...layer.slice(1), ...layer.slice(0, 1)]),
});

const isProposer = (proposers: Proposers, rank: number): boolean =>
  rank === 0 || (proposers === Proposers.FirstTwo && rank === 1);

/** Injects the fault of a case once, at the planned step. */
class MapInjector {
  #fleet: RankFleet | undefined;

  #occurrenceCount = 0;

  #nextDelivery: Delivery | undefined;

  #isBlocked: ((from: EmulatedProcess, to: EmulatedProcess) => boolean) | undefined;

  #isCleared = false;

  wasInjected = false;

  private constructor(private readonly mapCase: MapCase) {}

  static create(mapCase: MapCase): MapInjector {
    return new MapInjector(mapCase);
  }

  arm(fleet: RankFleet): void {
    this.#fleet = fleet;
  }

  readonly onStep = ({ step, processId, peerId }: UpcomingStep): void => {
    if (this.#fleet === undefined || this.#isCleared || step !== this.mapCase.step) {
      return;
    }
    this.#occurrenceCount += 1;
    if (this.#occurrenceCount === this.mapCase.occurrence) {
      this.wasInjected = true;
      const { emulation } = this.#fleet;
      const sender = emulation.process(processId);
      this.#inject(sender, peerId === undefined ? sender : emulation.process(peerId));
    }
  };

  readonly takeDelivery = (): Delivery => {
    const delivery = this.#nextDelivery ?? DELIVERED;
    this.#nextDelivery = undefined;
    return delivery;
  };

  readonly isConnected = (from: EmulatedProcess, to: EmulatedProcess): boolean =>
    this.#isBlocked?.(from, to) !== true;

  clearFaults(): void {
    this.#isCleared = true;
    this.#isBlocked = undefined;
    this.#fleet?.processes.filter(({ isAlive }) => !isAlive).forEach((process) => process.start());
  }

  #inject(sender: EmulatedProcess, peer: EmulatedProcess): void {
    const { fault } = this.mapCase;
    switch (fault) {
      case MapFault.CrashSender:
        sender.kill();
        return;
      case MapFault.RestartSender:
        this.#restart(sender);
        return;
      case MapFault.RestartPeer:
        this.#restart(peer);
        return;
      case MapFault.PauseSender:
        this.#pause(sender);
        return;
      case MapFault.PausePeer:
        this.#pause(peer);
        return;
      case MapFault.PartitionPair:
        this.#block((from, to) => [from, to].includes(sender) && [from, to].includes(peer));
        return;
      case MapFault.PartitionSender:
        this.#block((from, to) => from === sender || to === sender);
        return;
      case MapFault.MessageLost:
      case MapFault.MessageDuplicated:
      case MapFault.MessageReordered:
      case MapFault.MessageLate:
        this.#nextDelivery = MESSAGE_DELIVERIES[fault];
        return;
      default:
        fault satisfies never;
    }
  }

  #restart(process: EmulatedProcess): void {
    process.kill();
    this.#schedule(RESTART_MS, () => process.start());
  }

  #pause(process: EmulatedProcess): void {
    process.pause();
    this.#schedule(PAUSE_MS, () => process.resume());
  }

  #block(isBlocked: (from: EmulatedProcess, to: EmulatedProcess) => boolean): void {
    this.#isBlocked = isBlocked;
    this.#schedule(PARTITION_MS, () => {
      this.#isBlocked = undefined;
    });
  }

  #schedule(delayMs: number, action: () => void): void {
    this.#fleet?.emulation.time.schedule(delayMs, action);
  }
}

/**
 * Runs a case on virtual time; empty rules test the unmodified system.
 *
 * @example
 * runMapCase(mapCase, {}).violations; // []
 */
export const runMapCase = (mapCase: MapCase, rules: MapRules): MapCaseResult => {
  const injector = MapInjector.create(mapCase);
  const fleet = createRankFleet({
    seed: mapCase.seed,
    rankCount: RANK_COUNT,
    layerCount: 1,
    expertCount: EXPERT_COUNT,
    loadMs: LOAD_MS,
    propose: (rank) => (_counts, current) =>
      isProposer(mapCase.proposers, rank) ? rotate(current) : undefined,
    countsAt: () => [Array.from({ length: EXPERT_COUNT }, () => 1)],
    stepMs: () => STEP_MS,
    onStep: injector.onStep,
    network: { deliveryOf: injector.takeDelivery, isConnected: injector.isConnected },
    rules,
  });
  const { emulation, group } = fleet;
  injector.arm(fleet);
  emulation.runFor(FAULT_PHASE_MS);
  injector.clearFaults();
  emulation.runFor(RECOVERY_MS);
  const stepsBefore = group.stepCount;
  const mapBefore = group.map.mapId;
  emulation.runFor(PROBE_MS);
  return {
    violations: [
      ...(group.mixedStepCount > 0 ? [MapInvariant.OneMapPerStep] : []),
      ...(group.stepCount === stepsBefore ? [MapInvariant.StepsContinue] : []),
      ...(group.map.mapId === mapBefore ? [MapInvariant.ChangesContinue] : []),
    ],
    wasInjected: injector.wasInjected,
    stepCount: group.stepCount,
  };
};
