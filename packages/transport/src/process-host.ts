/** @module Connects a kernel and its services to the ports of a process. */
import { randomBytes } from 'node:crypto';
import {
  EffectKind,
  type AnswerRankEffect,
  type AnyRegistration,
  type Directory,
  type Effect,
  type Event,
  type FindService,
  type LoadMapEffect,
  type LogEffect,
  type Runtime,
} from '@ebonysill/core';
import { Kernel } from '@ebonysill/kernel';
import type { CallerPort } from './caller-port.js';
import type ConfigurationPort from './ConfigurationPort.js';
import { Listener, type RecordDrop } from './DropCounters.js';
import LinkPort from './LinkPort.js';
import type TargetPort from './TargetPort.js';
import TimerPort from './TimerPort.js';

/** Services, role-specific ports and callbacks of a process. */
export interface ProcessHostOptions {
  /** Secret shared by all processes of the fleet, and by nobody else. */
  readonly linkSecret: string;
  readonly createServices: (runtime: Runtime) => readonly AnyRegistration[];
  /** Called before the services are created; `find` works once the process is created. */
  readonly createCallerPort?: (
    post: (event: Event) => void,
    find: () => FindService,
    onDropped: RecordDrop,
  ) => CallerPort;
  readonly createTargetPort?: (post: (event: Event) => void) => TargetPort;
  readonly createConfigurationPort?: (post: (event: Event) => void) => ConfigurationPort;
  /** Called to let the rank beside this process begin a step. */
  readonly onAnswerRank?: (effect: AnswerRankEffect) => void;
  /** Called to make the rank beside this process load an expert map. */
  readonly onLoadMap?: (effect: LoadMapEffect) => void;
  readonly onLog: (effect: LogEffect) => void;
  /** Returns the function that records the drops of a listener; they are ignored by default. */
  readonly recorderOf?: (listener: Listener) => RecordDrop;
  /** Called once all services have drained. */
  readonly onDrained: () => void;
  /** Called when an invariant is broken; the process must stop. */
  readonly onFatalError: (error: unknown) => void;
}

/** Bytes per random number; `readUIntBE` reads at most six. */
const RANDOM_BYTES = 6;

const RANDOM_RANGE = 2 ** (8 * RANDOM_BYTES);

/** Runtime of a real process: monotonic clock and random numbers. */
export const systemRuntime: Runtime = {
  nowMs: () => performance.now(),
  random: () => randomBytes(RANDOM_BYTES).readUIntBE(0, RANDOM_BYTES) / RANDOM_RANGE,
};

/** Kernel and ports of one process. */
export class ProcessHost {
  readonly links: LinkPort;

  readonly callers: CallerPort | undefined;

  readonly #targetPort: TargetPort | undefined;

  readonly #configurationPort: ConfigurationPort | undefined;

  readonly #timerPort: TimerPort;

  readonly #kernel: Kernel<Directory, Event, Effect>;

  private constructor(private readonly options: ProcessHostOptions) {
    const post = (event: Event): void => this.#kernel.post(event);
    const { recorderOf = () => () => undefined } = options;
    this.links = LinkPort.create(options.linkSecret, post, {}, recorderOf(Listener.Links));
    this.#timerPort = TimerPort.create(post);
    this.callers = options.createCallerPort?.(post, () => this.find, recorderOf(Listener.Callers));
    this.#targetPort = options.createTargetPort?.(post);
    this.#configurationPort = options.createConfigurationPort?.(post);
    this.#kernel = Kernel.create<Directory, Event, Effect>({
      services: options.createServices(systemRuntime),
      nowMs: systemRuntime.nowMs,
      perform: (effect) => this.#perform(effect),
      onDrained: () => options.onDrained(),
      onFatalError: (error) => options.onFatalError(error),
    });
  }

  /**
   * Creates a process with its ports, not yet started.
   *
   * @example
   * const host = ProcessHost.create(options);
   * host.start();
   */
  static create(options: ProcessHostOptions): ProcessHost {
    return new ProcessHost(options);
  }

  /** Function that returns the API of a service of this process by its name. */
  get find(): FindService {
    return this.#kernel.find;
  }

  /** Starts the services. */
  start(): void {
    this.#kernel.start();
  }

  /** Stops accepting callers and starts to drain the services. */
  drain(): void {
    this.callers?.stopAccepting();
    this.#kernel.drain();
  }

  /** Resolves once callers have taken their answers, or after a bounded time. */
  async flushCallers(): Promise<void> {
    await this.callers?.flush();
  }

  /** Stops the services at once and closes every port. */
  shutdown(): void {
    this.#kernel.kill();
    this.#timerPort.shutdown();
    this.links.shutdown();
    this.callers?.shutdown();
    this.#targetPort?.shutdown();
    this.#configurationPort?.shutdown();
  }

  #perform(effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.AnswerHead:
      case EffectKind.AnswerChunk:
      case EffectKind.AnswerEnd:
      case EffectKind.AnswerKey:
      case EffectKind.AnswerProblem:
        this.callers?.perform(effect);
        return;
      case EffectKind.OpenLink:
        this.links.open(effect);
        return;
      case EffectKind.CloseLink:
        this.links.close(effect.linkId);
        return;
      case EffectKind.Send:
        this.links.send(effect.linkId, effect.message);
        return;
      case EffectKind.SetTimer:
        this.#timerPort.set(effect);
        return;
      case EffectKind.ClearTimer:
        this.#timerPort.clear(effect);
        return;
      case EffectKind.ReadConfiguration:
        this.#configurationPort?.read(effect.aboveRevision);
        return;
      case EffectKind.CallTarget:
        this.#targetPort?.call(effect);
        return;
      case EffectKind.AbortTarget:
        this.#targetPort?.abort(effect.callId);
        return;
      case EffectKind.PauseTarget:
        this.#targetPort?.pause(effect.callId);
        return;
      case EffectKind.ResumeTarget:
        this.#targetPort?.resume(effect.callId);
        return;
      case EffectKind.ReadTargetHealth:
        this.#targetPort?.readHealth();
        return;
      case EffectKind.AnswerRank:
        this.options.onAnswerRank?.(effect);
        return;
      case EffectKind.LoadMap:
        this.options.onLoadMap?.(effect);
        return;
      case EffectKind.Log:
        this.options.onLog(effect);
        return;
      default:
        effect satisfies never;
    }
  }
}
