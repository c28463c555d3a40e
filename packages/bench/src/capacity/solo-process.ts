/** @module Runs a single process without network or peers, to measure its own cost. */
import {
  EffectKind,
  EventKind,
  MessageKind,
  ProcessRole,
  TargetState,
  type AnyRegistration,
  type Configuration,
  type Directory,
  type Effect,
  type Event,
  type Message,
  type Runtime,
} from '@ebonysill/core';
import { createRandom } from '@ebonysill/emulator';
import { Kernel } from '@ebonysill/kernel';

/** Services and configuration of a single process. */
export interface SoloProcessOptions {
  readonly createServices: (runtime: Runtime) => readonly AnyRegistration[];
  readonly configuration: Configuration;
}

/** Time that passes whenever a service reads the clock. */
const CLOCK_STEP_MS = 0.01;

/**
 * Runs one kernel and simulates its peers, which answer each dial with a hello and a heartbeat
 * acknowledgement that reports an idle target.
 */
export class SoloProcess {
  readonly kernel: Kernel<Directory, Event, Effect>;

  /** Run messages sent so far, by link. */
  readonly sentRuns: { readonly linkId: string; readonly runId: string }[] = [];

  /** Calls to the target so far. */
  readonly callIds: string[] = [];

  #nowMs = 0;

  private constructor(private readonly options: SoloProcessOptions) {
    this.kernel = Kernel.create<Directory, Event, Effect>({
      services: options.createServices({
        nowMs: () => this.#advanceClock(),
        random: createRandom(1),
      }),
      nowMs: () => this.#nowMs,
      perform: (effect) => this.#perform(effect),
      onDrained: () => undefined,
      onFatalError: (error) => {
        throw error;
      },
    });
    this.kernel.start();
  }

  /**
   * Creates and starts a process, and posts its configuration.
   *
   * @example
   * const entry = SoloProcess.create({ createServices, configuration });
   */
  static create(options: SoloProcessOptions): SoloProcess {
    const solo = new SoloProcess(options);
    const { configuration } = options;
    solo.kernel.post({ kind: EventKind.ConfigurationRead, configuration });
    return solo;
  }

  /** Delivers a message on a link to the process. */
  receive(linkId: string, message: Message): void {
    this.kernel.post({ kind: EventKind.LinkMessage, linkId, message });
  }

  /** Opens an inbound link and delivers the hello of an entry process. */
  acceptLink(linkId: string, processId: string): void {
    this.kernel.post({ kind: EventKind.LinkOpened, linkId, isInbound: true });
    this.receive(linkId, SoloProcess.#helloOf(processId, ProcessRole.Entry));
  }

  static #helloOf(processId: string, role: ProcessRole): Message {
    return {
      kind: MessageKind.Hello,
      processId,
      incarnation: 'incarnation',
      role,
      availabilityZone: 'zone-a',
      revision: 1,
    };
  }

  #advanceClock(): number {
    this.#nowMs += CLOCK_STEP_MS;
    return this.#nowMs;
  }

  #perform(effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.OpenLink:
        this.#answerDial(effect.linkId);
        return;
      case EffectKind.Send:
        if (effect.message.kind === MessageKind.Run) {
          this.sentRuns.push({ linkId: effect.linkId, runId: effect.message.runId });
        }
        return;
      case EffectKind.CallTarget:
        this.callIds.push(effect.callId);
        return;
      case EffectKind.ReadTargetHealth:
        this.kernel.post({ kind: EventKind.TargetHealth, isUp: true, isCold: false });
        break;
      default:
    }
  }

  #answerDial(linkId: string): void {
    const targetId = linkId.slice(linkId.indexOf('>') + 1, linkId.lastIndexOf('#'));
    const target = this.options.configuration.targets.find(
      (candidate) => candidate.targetId === targetId,
    );
    this.kernel.post({ kind: EventKind.LinkOpened, linkId, isInbound: false });
    this.receive(linkId, SoloProcess.#helloOf(targetId, ProcessRole.Sidecar));
    this.receive(linkId, {
      kind: MessageKind.HeartbeatAck,
      revision: 1,
      load: {
        targetId,
        state: TargetState.Warm,
        runningCount: 0,
        waitingCount: 0,
        limit: target?.concurrency ?? 1,
      },
    });
  }
}
