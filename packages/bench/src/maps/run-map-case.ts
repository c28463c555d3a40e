/** @module Runs a group of ranks through one case of the fault matrix for map changes. */
import type { ExpertMap } from '@ebonysill/core';
import {
  MessageFate,
  createRankFleet,
  type EmulatedProcess,
  type Fate,
  type RankFleet,
  type RankFleetOptions,
  type StepTaken,
} from '@ebonysill/emulator';
import { MapFault, Proposers, type MapCase } from './map-case.js';

/** What must always hold for a group. */
export enum MapInvariant {
  OneMapPerStep = 'ranks used different maps in one step',
  GoesOn = 'the group did not go on after the faults',
  Changes = 'no change took effect after the faults',
}

/** What became of a case. */
export interface MapCaseResult {
  readonly violations: readonly MapInvariant[];
  readonly hasStruck: boolean;
  readonly stepCount: number;
}

/** Rules of gates and drivers, for known-bad variants. */
export type MapRules = NonNullable<RankFleetOptions['rules']>;

const RANK_COUNT = 5;

const EXPERT_COUNT = 10;

const STEP_MS = 10;

const LOAD_MS = 150;

const FAULT_PHASE_MS = 15_000;

const RECOVERY_MS = 10_000;

const PROBE_MS = 5_000;

const RESTART_MS = 300;

const PAUSE_MS = 3_000;

const PARTITION_MS = 3_000;

const LATE_MS = 2_500;

const OVERTAKEN_MS = 40;

const DELIVERED: Fate = { kind: MessageFate.Delivered, delayMs: 0 };

const FATES: Partial<Readonly<Record<MapFault, Fate>>> = {
  [MapFault.MessageLost]: { kind: MessageFate.Lost, delayMs: 0 },
  [MapFault.MessageDoubled]: { kind: MessageFate.Doubled, delayMs: OVERTAKEN_MS },
  [MapFault.MessageReordered]: { kind: MessageFate.Reordered, delayMs: OVERTAKEN_MS },
  [MapFault.MessageLate]: { kind: MessageFate.Late, delayMs: LATE_MS },
};

/** A map that differs from the present one in every expert. */
const rotate = ({ mapId, layers }: ExpertMap): ExpertMap => ({
  mapId,
  layers: layers.map((layer) => [...layer.slice(1), ...layer.slice(0, 1)]),
});

const proposes = (proposers: Proposers, rank: number): boolean =>
  rank === 0 || (proposers === Proposers.FirstTwo && rank === 1);

/** Strikes once, at the planned step. */
class MapInjector {
  #fleet: RankFleet | undefined;

  #count = 0;

  #nextFate: Fate | undefined;

  #blocked: ((from: EmulatedProcess, to: EmulatedProcess) => boolean) | undefined;

  #isHealed = false;

  hasStruck = false;

  private constructor(private readonly mapCase: MapCase) {}

  static create(mapCase: MapCase): MapInjector {
    return new MapInjector(mapCase);
  }

  arm(fleet: RankFleet): void {
    this.#fleet = fleet;
  }

  readonly onStep = ({ step, processId, peerId }: StepTaken): void => {
    if (this.#fleet === undefined || this.#isHealed || step !== this.mapCase.step) {
      return;
    }
    this.#count += 1;
    if (this.#count === this.mapCase.occurrence) {
      this.hasStruck = true;
      const { emulation } = this.#fleet;
      const sender = emulation.process(processId);
      this.#strike(sender, peerId === undefined ? sender : emulation.process(peerId));
    }
  };

  readonly fateOf = (): Fate => {
    const fate = this.#nextFate ?? DELIVERED;
    this.#nextFate = undefined;
    return fate;
  };

  readonly isConnected = (from: EmulatedProcess, to: EmulatedProcess): boolean =>
    this.#blocked?.(from, to) !== true;

  heal(): void {
    this.#isHealed = true;
    this.#blocked = undefined;
    this.#fleet?.processes.filter(({ isAlive }) => !isAlive).forEach((process) => process.start());
  }

  #strike(sender: EmulatedProcess, peer: EmulatedProcess): void {
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
      case MapFault.MessageDoubled:
      case MapFault.MessageReordered:
      case MapFault.MessageLate:
        this.#nextFate = FATES[fault];
        return;
      default:
        fault satisfies never;
    }
  }

  #restart(process: EmulatedProcess): void {
    process.kill();
    this.#after(RESTART_MS, () => process.start());
  }

  #pause(process: EmulatedProcess): void {
    process.pause();
    this.#after(PAUSE_MS, () => process.resume());
  }

  #block(isBlocked: (from: EmulatedProcess, to: EmulatedProcess) => boolean): void {
    this.#blocked = isBlocked;
    this.#after(PARTITION_MS, () => {
      this.#blocked = undefined;
    });
  }

  #after(delayMs: number, act: () => void): void {
    this.#fleet?.emulation.time.schedule(delayMs, act);
  }
}

/**
 * Runs a case; the rules are empty for the system as it is.
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
      proposes(mapCase.proposers, rank) ? rotate(current) : undefined,
    countsAt: () => [Array.from({ length: EXPERT_COUNT }, () => 1)],
    stepMs: () => STEP_MS,
    onStep: injector.onStep,
    network: { fateOf: injector.fateOf, isConnected: injector.isConnected },
    rules,
  });
  const { emulation, group } = fleet;
  injector.arm(fleet);
  emulation.runFor(FAULT_PHASE_MS);
  injector.heal();
  emulation.runFor(RECOVERY_MS);
  const stepsBefore = group.stepCount;
  const mapBefore = group.map.mapId;
  emulation.runFor(PROBE_MS);
  return {
    violations: [
      ...(group.mixedStepCount > 0 ? [MapInvariant.OneMapPerStep] : []),
      ...(group.stepCount === stepsBefore ? [MapInvariant.GoesOn] : []),
      ...(group.map.mapId === mapBefore ? [MapInvariant.Changes] : []),
    ],
    hasStruck: injector.hasStruck,
    stepCount: group.stepCount,
  };
};
