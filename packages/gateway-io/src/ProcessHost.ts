/** @module Runs the services of a process: posts events to them and performs their effects. */
import {
  CallStage,
  EffectKind,
  EventKind,
  type AnyRegistration,
  type Directory,
  type Effect,
  type Event,
  type LogEffect,
  type Order,
  type RankExperts,
  type ReadStoreEffect,
  type Runtime,
} from '@ebonysill/gateway';
import { Kernel } from '@ebonysill/kernel';
import type CallerServer from './CallerServer.js';
import type DatagramPort from './DatagramPort.js';
import type LogPort from './LogPort.js';
import type MetricsRecorder from './MetricsRecorder.js';
import type TargetClient from './TargetClient.js';
import TimerPort from './TimerPort.js';

/** Requests and orders to engines: the local one, or another one where `engineAddress` is given. */
export interface RankPort {
  readonly requestState: (engineAddress?: string) => void;
  readonly requestExpertCounts: (knownExperts?: RankExperts) => void;
  readonly sendOrder: (orderId: number, order: Order, engineAddress?: string) => void;
}

/** Ports of a process; the services of a role use only the ports that the role has. */
export interface ProcessPorts {
  readonly callers?: CallerServer;
  readonly targets?: TargetClient;
  readonly datagrams?: DatagramPort;
  readonly readStore?: (effect: ReadStoreEffect) => void;
  readonly rank?: RankPort;
}

/** Options of a process host. */
export interface ProcessHostOptions {
  readonly services: readonly AnyRegistration[];
  readonly runtime: Runtime;
  readonly logs: LogPort;
  readonly metrics: MetricsRecorder;
  /** Ends the process after draining, or after a broken invariant. */
  readonly exit: (code: number) => void;
}

/** EX_SOFTWARE of sysexits. */
const EXIT_BROKEN_INVARIANT = 70;

/** Connects the kernel of a process to its ports. */
export default class ProcessHost {
  readonly kernel: Kernel<Directory, Event, Effect>;

  readonly #timers: TimerPort;

  #ports: ProcessPorts = {};

  private constructor(private readonly options: ProcessHostOptions) {
    this.#timers = TimerPort.create(this.post);
    this.kernel = Kernel.create<Directory, Event, Effect>({
      services: options.services,
      nowMs: options.runtime.nowMs,
      perform: this.perform,
      onDrained: () => options.exit(0),
      onFatalError: (error) => this.#exitOnBrokenInvariant(error),
    });
  }

  /**
   * Creates a host whose services are not started yet.
   *
   * @example
   * ProcessHost.create(options).start({ callers, targets });
   */
  static create(options: ProcessHostOptions): ProcessHost {
    return new ProcessHost(options);
  }

  readonly post = (event: Event): void => {
    this.kernel.post(event);
  };

  /** Starts the services; their effects go to `ports`. */
  start(ports: ProcessPorts): void {
    this.#ports = ports;
    this.kernel.start();
  }

  /**
   * Performs one effect; an effect for a port that the process lacks is ignored. An error in an
   * effect of one exchange ends that exchange only.
   */
  readonly perform = (effect: Effect): void => {
    try {
      this.#perform(effect);
    } catch (error) {
      this.#onEffectError(effect, error);
    }
  };

  #onEffectError(effect: Effect, error: unknown): void {
    switch (effect.kind) {
      case EffectKind.StartCall:
        this.options.logs.error(error, 'call not started');
        this.#ports.targets?.cancel(effect.callId);
        this.post({
          kind: EventKind.TargetCallFailed,
          callId: effect.callId,
          stage: CallStage.NotSent,
          detail: 'the call cannot be encoded',
        });
        return;
      case EffectKind.SendAnswer:
      case EffectKind.BeginAnswer:
      case EffectKind.ContinueAnswer:
      case EffectKind.EndAnswer:
        this.options.logs.error(error, 'answer not written');
        this.#ports.callers?.abortAnswer(effect.exchangeId);
        return;
      default:
        throw error;
    }
  }

  #perform(effect: Effect): void {
    const { callers, targets, datagrams, readStore, rank } = this.#ports;
    switch (effect.kind) {
      case EffectKind.StartCall:
        targets?.start(effect);
        return;
      case EffectKind.CancelCall:
        targets?.cancel(effect.callId);
        return;
      case EffectKind.PauseCall:
        targets?.pause(effect.callId);
        return;
      case EffectKind.ResumeCall:
        targets?.resume(effect.callId);
        return;
      case EffectKind.CheckTarget:
        targets?.check(effect);
        return;
      case EffectKind.SendAnswer:
        callers?.sendAnswer(effect);
        return;
      case EffectKind.BeginAnswer:
        callers?.beginAnswer(effect);
        return;
      case EffectKind.ContinueAnswer:
        callers?.continueAnswer(effect);
        return;
      case EffectKind.EndAnswer:
        callers?.endAnswer(effect.exchangeId);
        return;
      case EffectKind.AbortAnswer:
        callers?.abortAnswer(effect.exchangeId);
        return;
      case EffectKind.DropStalledAnswers:
        callers?.dropStalled(effect.minStallMs);
        return;
      case EffectKind.CloseIdleCallers:
        callers?.closeIdle();
        return;
      case EffectKind.StopAccepting:
        callers?.stopAccepting();
        return;
      case EffectKind.ApplyLimits:
        callers?.applyLimits(effect.limits);
        return;
      case EffectKind.ReadStore:
        readStore?.(effect);
        return;
      case EffectKind.SetTimer:
        this.#timers.set(effect);
        return;
      case EffectKind.ClearTimer:
        this.#timers.clear(effect);
        return;
      case EffectKind.SendToPeer:
        datagrams?.send(effect);
        return;
      case EffectKind.QueryRank:
        rank?.requestState(effect.engineAddress);
        return;
      case EffectKind.CountExperts:
        rank?.requestExpertCounts(effect.known);
        return;
      case EffectKind.SendOrder:
        rank?.sendOrder(effect.orderId, effect.order, effect.engineAddress);
        return;
      case EffectKind.Log:
        this.#log(effect);
        return;
      case EffectKind.Stop:
        this.options.exit(0);
        return;
      default:
        effect satisfies never;
    }
  }

  #log(effect: LogEffect): void {
    this.options.logs.write(effect);
    this.options.metrics.recordDecision(effect);
  }

  #exitOnBrokenInvariant(error: unknown): void {
    this.options.logs.fatal(error);
    this.options.exit(EXIT_BROKEN_INVARIANT);
  }
}
