/** @module One agent on virtual time that records its effects. */
import {
  EventKind,
  PeerMessageKind,
  PeerRole,
  TimerKind,
  type Directory,
  type Effect,
  type Event,
  type PeerMessage,
  type RankReport,
} from '@ebonysill/gateway';
import { Kernel } from '@ebonysill/kernel';
import { createAgentServices } from '../src/index.js';

/** Builds a report of rank 0; `changes` replace the defaults. */
export const reportOf = (changes: Partial<RankReport> = {}): RankReport => ({
  groupName: 'group-1',
  epoch: 1,
  rank: 0,
  rankCount: 2,
  isOpen: true,
  step: 10,
  mapVersion: 0,
  preparedVersion: 0,
  armedVersion: 0,
  heldStep: 0,
  runningCount: 0,
  waitingCount: 0,
  pace: 1,
  ...changes,
});

/** Address of the driver of the group. */
export const DRIVER = '10.0.0.9:7000';

/** Runs the services of one agent; tests post its events. */
export class Agent {
  #nowMs = 0;

  /** Lead of the clock that counts suspended time over the other one. */
  #suspendedMs = 0;

  readonly #effects: Effect[] = [];

  readonly #kernel: Kernel<Directory, Event, Effect>;

  private constructor() {
    this.#kernel = Kernel.create<Directory, Event, Effect>({
      services: createAgentServices({
        runtime: {
          nowMs: () => this.#nowMs,
          suspendAwareMs: () => this.#nowMs + this.#suspendedMs,
          random: () => 0.5,
        },
        self: {
          name: 'agent-1',
          role: PeerRole.RankAgent,
          address: '10.0.0.1:7000',
          availabilityZone: 'zone-a',
          serviceName: 'model',
        },
        engineAddress: '10.0.0.1:80',
        seeds: [],
      }),
      nowMs: () => this.#nowMs,
      perform: (effect) => this.#effects.push(effect),
      onDrained: () => undefined,
      onFatalError: (error) => {
        throw error;
      },
    });
    this.#kernel.start();
  }

  /**
   * Creates an agent whose first question to its engine has no answer yet.
   *
   * @example
   * Agent.create().answer(reportOf({ heldStep: 12 }));
   */
  static create(): Agent {
    return new Agent();
  }

  /** Posts an event; returns the resulting effects. */
  post(event: Event): readonly Effect[] {
    const before = this.#effects.length;
    this.#kernel.post(event);
    return this.#effects.slice(before);
  }

  /** Lets time pass in which the process does nothing. */
  wait(spanMs: number): void {
    this.#nowMs += spanMs;
  }

  /** Lets time pass in which also the steady clock of the machine stands still. */
  suspendMachine(spanMs: number): void {
    this.#suspendedMs += spanMs;
  }

  /** Advances the clock until the driver evaluates; returns the resulting effects. */
  tick(): readonly Effect[] {
    this.wait(40);
    return this.post({ kind: EventKind.TimerFired, timer: TimerKind.MapChange, key: 0 });
  }

  /** Asks the engine beside the agent. */
  ask(): void {
    this.post({ kind: EventKind.TimerFired, timer: TimerKind.RankReport, key: 0 });
  }

  /** The engine beside the agent answers a question. */
  answer(report: RankReport): readonly Effect[] {
    return this.post({ kind: EventKind.RankReported, report });
  }

  receive(message: PeerMessage, address = DRIVER): readonly Effect[] {
    return this.post({ kind: EventKind.PeerMessageReceived, address, message });
  }

  /** Another agent of the group becomes known; the one whose name sorts first is the driver. */
  meet(name: string, address: string): void {
    this.receive({
      kind: PeerMessageKind.Hello,
      member: {
        name,
        role: PeerRole.RankAgent,
        address,
        availabilityZone: 'zone-a',
        serviceName: 'model',
        groupName: 'group-1',
      },
    });
  }
}
