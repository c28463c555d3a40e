/** @module Injects faults into an emulated fleet at the planned steps. */
import {
  FakeConfigurationMode,
  DeliveryOutcome,
  type EmulatedProcess,
  type Delivery,
  type Fleet,
  type UpcomingStep,
} from '@ebonysill/emulator';
import type { PlannedFault } from './fault-case.js';
import { FaultKind } from './fault-kind.js';

/** Time until a killed process or a crashed target is started again. */
const RESTART_MS = 500;

/** Duration of a pause that ends before the deadline of the request. */
const PAUSE_MS = 4_000;

/** Duration of a pause that ends after the deadline of the request. */
const PAUSE_PAST_DEADLINE_MS = 26_000;

/** Duration of a partition. */
const PARTITION_MS = 6_000;

/** Delay of a late message. */
const LATE_DELAY_MS = 3_000;

/** Delay of a reordered message, and between the two copies of a duplicated message. */
const REORDER_DELAY_MS = 60;

/** Time for which the configuration service is down or serves a stale configuration. */
const CONFIGURATION_OUTAGE_MS = 10_000;

/** Time until a zone that was taken out is put back into service. */
const ZONE_OUT_MS = 8_000;

const DELIVERED: Delivery = { kind: DeliveryOutcome.Delivered, delayMs: 0 };

const MESSAGE_DELIVERIES: Partial<Readonly<Record<FaultKind, Delivery>>> = {
  [FaultKind.MessageLost]: { kind: DeliveryOutcome.Lost, delayMs: 0 },
  [FaultKind.MessageDuplicated]: { kind: DeliveryOutcome.Duplicated, delayMs: REORDER_DELAY_MS },
  [FaultKind.MessageReordered]: { kind: DeliveryOutcome.Reordered, delayMs: REORDER_DELAY_MS },
  [FaultKind.MessageLate]: { kind: DeliveryOutcome.Late, delayMs: LATE_DELAY_MS },
};

interface BlockedDirection {
  readonly fromId: string;
  readonly toId: string;
}

/** The entry process and the sidecar last seen in a step, on which a fault acts. */
interface Participants {
  readonly entry: EmulatedProcess;
  readonly sidecar: EmulatedProcess;
}

/** Counts the steps of a fleet and injects each fault at its planned step. */
export default class FaultInjector {
  #fleet: Fleet | undefined;

  #pendingFaults: PlannedFault[];

  #blockedDirections: readonly BlockedDirection[] = [];

  #nextDelivery: Delivery | undefined;

  #isCleared = false;

  #entryId = 'entry-1';

  #sidecarId: string | undefined;

  #revision = 1;

  readonly #stepCounts = new Map<string, number>();

  private constructor(faults: readonly PlannedFault[]) {
    this.#pendingFaults = [...faults];
  }

  /**
   * Creates an injector, which injects nothing until it is armed.
   *
   * @example
   * const injector = FaultInjector.create(faultCase.faults);
   */
  static create(faults: readonly PlannedFault[]): FaultInjector {
    return new FaultInjector(faults);
  }

  /** Faults not yet injected, because their step has not occurred. */
  get pendingCount(): number {
    return this.#pendingFaults.length;
  }

  /** Starts counting steps and injecting faults. */
  arm(fleet: Fleet): void {
    this.#fleet = fleet;
  }

  /** Counts a step, and injects the faults that are planned for it. */
  readonly onStep = ({ step, processId, peerId }: UpcomingStep): void => {
    if (this.#fleet === undefined || this.#isCleared) {
      return;
    }
    this.#recordParticipants(processId, peerId);
    const count = (this.#stepCounts.get(step) ?? 0) + 1;
    this.#stepCounts.set(step, count);
    const due = this.#pendingFaults.filter(
      (planned) => planned.step === step && planned.occurrence === count,
    );
    this.#pendingFaults = this.#pendingFaults.filter((planned) => !due.includes(planned));
    due.forEach(({ fault }) => this.#inject(fault));
  };

  /** Delivery of the message that is being sent; a planned message fault applies to it once. */
  readonly takeDelivery = (): Delivery => {
    const delivery = this.#nextDelivery ?? DELIVERED;
    this.#nextDelivery = undefined;
    return delivery;
  };

  /** Whether bytes from one process reach another. */
  readonly isConnected = (from: EmulatedProcess, to: EmulatedProcess): boolean =>
    !this.#blockedDirections.some(
      ({ fromId, toId }) => fromId === from.processId && toId === to.processId,
    );

  /**
   * Ends partitions and outages, puts every zone back, restarts stopped processes and injects
   * nothing from now on; silent links stay silent.
   */
  clearFaults(): void {
    const fleet = this.#fleet;
    if (fleet === undefined) {
      return;
    }
    this.#isCleared = true;
    this.#blockedDirections = [];
    fleet.emulation.configurationService.setMode(FakeConfigurationMode.Up);
    this.#publish([]);
    [...fleet.sidecars, ...fleet.entries].forEach((process) => {
      if (!process.isAlive) {
        process.start();
      }
    });
  }

  #recordParticipants(processId: string, peerId: string | undefined): void {
    [processId, peerId].forEach((id) => {
      if (id?.startsWith('entry-') === true) {
        this.#entryId = id;
      } else if (id !== undefined) {
        this.#sidecarId = id;
      }
    });
  }

  #inject(fault: FaultKind): void {
    const fleet = this.#fleet;
    if (fleet === undefined || this.#sidecarId === undefined) {
      return;
    }
    const { emulation } = fleet;
    const participants = {
      entry: emulation.process(this.#entryId),
      sidecar: emulation.process(this.#sidecarId),
    };
    const delivery = MESSAGE_DELIVERIES[fault];
    if (delivery !== undefined) {
      this.#nextDelivery = delivery;
      return;
    }
    this.#injectProcessFault(fault, fleet, participants);
    this.#injectNetworkFault(fault, fleet, participants);
    this.#injectConfigurationFault(fault, fleet, participants);
  }

  #injectProcessFault(fault: FaultKind, fleet: Fleet, { entry, sidecar }: Participants): void {
    const target = fleet.emulation.target(sidecar.processId);
    switch (fault) {
      case FaultKind.CrashEntry:
        entry.kill();
        return;
      case FaultKind.RestartEntry:
        entry.kill();
        this.#scheduleStart(entry);
        return;
      case FaultKind.CrashSidecar:
        sidecar.kill();
        return;
      case FaultKind.RestartSidecar:
        sidecar.kill();
        this.#scheduleStart(sidecar);
        return;
      case FaultKind.CrashTarget:
        target.crash();
        this.#schedule(RESTART_MS, () => target.restart());
        return;
      case FaultKind.ReplaceHost:
        sidecar.kill();
        target.crash();
        this.#scheduleStart(sidecar);
        this.#schedule(RESTART_MS, () => target.restart());
        return;
      case FaultKind.PauseEntry:
        this.#pause(entry, PAUSE_MS);
        return;
      case FaultKind.PauseSidecar:
        this.#pause(sidecar, PAUSE_MS);
        return;
      case FaultKind.PauseSidecarPastDeadline:
        this.#pause(sidecar, PAUSE_PAST_DEADLINE_MS);
        return;
      case FaultKind.DrainEntry:
        this.#schedule(0, () => entry.drain());
        return;
      case FaultKind.DrainSidecar:
        this.#schedule(0, () => sidecar.drain());
        return;
      case FaultKind.TargetTurnsCold:
        target.turnCold();
        break;
      default:
    }
  }

  #injectNetworkFault(fault: FaultKind, fleet: Fleet, { entry, sidecar }: Participants): void {
    switch (fault) {
      case FaultKind.PartitionToSidecar:
        this.#block(entry, sidecar);
        return;
      case FaultKind.PartitionToEntry:
        this.#block(sidecar, entry);
        return;
      case FaultKind.PartitionBoth:
        this.#block(entry, sidecar);
        this.#block(sidecar, entry);
        return;
      case FaultKind.SilentToSidecar:
        fleet.emulation.network.silence(entry, sidecar);
        return;
      case FaultKind.SilentToEntry:
        fleet.emulation.network.silence(sidecar, entry);
        break;
      default:
    }
  }

  #injectConfigurationFault(
    fault: FaultKind,
    fleet: Fleet,
    { entry, sidecar }: Participants,
  ): void {
    const { configurationService } = fleet.emulation;
    switch (fault) {
      case FaultKind.ConfigurationDown:
        configurationService.setMode(FakeConfigurationMode.Down);
        this.#schedule(CONFIGURATION_OUTAGE_MS, () =>
          configurationService.setMode(FakeConfigurationMode.Up),
        );
        return;
      case FaultKind.ConfigurationStale:
        configurationService.setMode(FakeConfigurationMode.Stale);
        this.#publish([sidecar.availabilityZone]);
        this.#schedule(CONFIGURATION_OUTAGE_MS, () =>
          configurationService.setMode(FakeConfigurationMode.Up),
        );
        return;
      case FaultKind.ZoneOut:
        this.#publish([sidecar.availabilityZone]);
        this.#schedule(ZONE_OUT_MS, () => this.#publish([]));
        return;
      case FaultKind.TwoOperators:
        this.#publish([sidecar.availabilityZone]);
        this.#publish([entry.availabilityZone]);
        break;
      default:
    }
  }

  #pause(process: EmulatedProcess, durationMs: number): void {
    process.pause();
    this.#schedule(durationMs, () => process.resume());
  }

  #scheduleStart(process: EmulatedProcess): void {
    this.#schedule(RESTART_MS, () => {
      if (!process.isAlive) {
        process.start();
      }
    });
  }

  #block(from: EmulatedProcess, to: EmulatedProcess): void {
    const blocked = { fromId: from.processId, toId: to.processId };
    this.#blockedDirections = [...this.#blockedDirections, blocked];
    this.#schedule(PARTITION_MS, () => {
      this.#blockedDirections = this.#blockedDirections.filter((other) => other !== blocked);
    });
  }

  #publish(zonesOut: readonly string[]): void {
    this.#revision += 1;
    this.#fleet?.publish(this.#revision, zonesOut);
  }

  #schedule(delayMs: number, action: () => void): void {
    this.#fleet?.emulation.time.schedule(delayMs, action);
  }
}
