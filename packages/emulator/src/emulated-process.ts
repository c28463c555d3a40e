/** @module One emulated process: a kernel with emulated ports, on virtual time. */
import {
  EffectKind,
  EventKind,
  type AnyRegistration,
  type Directory,
  type Effect,
  type Event,
  type FindService,
  type Runtime,
  type TimerKind,
} from '@ebonysill/core';
import { Kernel } from '@ebonysill/kernel';
import { createRandom } from './create-random.js';
import type { ScheduledAction, VirtualTime } from './virtual-time.js';

/** Operations of the outside world that the process calls. */
export interface EmulatedPorts {
  readonly open: (process: EmulatedProcess, effect: Effect & { kind: EffectKind.OpenLink }) => void;
  readonly close: (process: EmulatedProcess, linkId: string) => void;
  readonly onKill: (process: EmulatedProcess) => void;
  /** Performs any effect other than timers and opening or closing links. */
  readonly perform: (process: EmulatedProcess, effect: Effect) => void;
  /** Changes an effect before it is performed. */
  readonly alter: (effect: Effect) => Effect;
  /** Called before each effect is performed; may pause or kill the process. */
  readonly beforeEffect: (process: EmulatedProcess, effect: Effect) => void;
}

/** Identity, clock, services and ports of an emulated process. */
export interface EmulatedProcessOptions {
  readonly processId: string;
  readonly availabilityZone: string;
  readonly time: VirtualTime;
  readonly seed: number;
  readonly createServices: (runtime: Runtime) => readonly AnyRegistration[];
  readonly ports: EmulatedPorts;
}

/** A process that can be killed, restarted, paused and drained. */
export class EmulatedProcess {
  readonly processId: string;

  readonly availabilityZone: string;

  #kernel: Kernel<Directory, Event, Effect> | undefined;

  #startCount = 0;

  #isPaused = false;

  #isDrained = false;

  #queuedEvents: Event[] = [];

  #queuedEffects: Effect[] = [];

  readonly #timers = new Map<string, ScheduledAction>();

  private constructor(private readonly options: EmulatedProcessOptions) {
    this.processId = options.processId;
    this.availabilityZone = options.availabilityZone;
  }

  /**
   * Creates a process that is not running.
   *
   * @example
   * const process = EmulatedProcess.create(options);
   * process.start();
   */
  static create(options: EmulatedProcessOptions): EmulatedProcess {
    return new EmulatedProcess(options);
  }

  /** Whether the process is running or paused. */
  get isAlive(): boolean {
    return this.#kernel !== undefined;
  }

  /** Number of starts so far; identifies the incarnation. */
  get startCount(): number {
    return this.#startCount;
  }

  /** Whether the process has completed its drain and exited. */
  get isDrained(): boolean {
    return this.#isDrained;
  }

  /** Looks up a service of the running process; throws if it is not running. */
  get find(): FindService {
    const kernel = this.#kernel;
    if (kernel === undefined) {
      throw new Error(`${this.processId} is not running`);
    }
    return kernel.find;
  }

  /** Starts the process with empty memory. */
  start(): void {
    this.#startCount += 1;
    this.#isDrained = false;
    const { time, seed } = this.options;
    const runtime: Runtime = {
      nowMs: () => time.nowMs,
      random: createRandom(seed * 1_000 + this.#startCount),
    };
    const kernel = Kernel.create<Directory, Event, Effect>({
      services: this.options.createServices(runtime),
      nowMs: runtime.nowMs,
      perform: (effect) => this.#performIfCurrent(kernel, effect),
      onDrained: () => this.#exit(),
      onFatalError: (error) => {
        throw error;
      },
    });
    this.#kernel = kernel;
    kernel.start();
  }

  /**
   * Ends the process at once: its timers, queued events and effects are discarded, its links
   * closed.
   */
  kill(): void {
    this.#kernel?.kill();
    this.#kernel = undefined;
    this.#isPaused = false;
    this.#queuedEvents = [];
    this.#queuedEffects = [];
    this.#timers.forEach((scheduled) => this.options.time.cancel(scheduled));
    this.#timers.clear();
    this.options.ports.onKill(this);
  }

  /** Pauses the process; events and effects are queued until it is resumed. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Resumes a paused process: performs queued effects, then posts queued events. */
  resume(): void {
    this.#isPaused = false;
    const effects = this.#queuedEffects;
    const events = this.#queuedEvents;
    this.#queuedEffects = [];
    this.#queuedEvents = [];
    effects.forEach((effect) => this.#perform(effect));
    events.forEach((event) => this.post(event));
  }

  /** Begins a graceful shutdown. */
  drain(): void {
    this.#kernel?.drain();
  }

  /** Posts an event to the process, or queues it while the process is paused. */
  post(event: Event): void {
    if (this.#isPaused) {
      this.#queuedEvents.push(event);
    } else {
      this.#kernel?.post(event);
    }
  }

  #exit(): void {
    this.#isDrained = true;
    this.options.time.schedule(0, () => this.kill());
  }

  #performIfCurrent(kernel: Kernel<Directory, Event, Effect>, effect: Effect): void {
    if (this.#kernel === kernel) {
      this.#perform(effect);
    }
  }

  #perform(effect: Effect): void {
    if (this.#isPaused) {
      this.#queuedEffects.push(effect);
      return;
    }
    this.options.ports.beforeEffect(this, effect);
    if (this.#isPaused) {
      this.#queuedEffects.push(effect);
    } else if (this.isAlive) {
      this.#performNow(this.options.ports.alter(effect));
    }
  }

  #performNow(effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.SetTimer:
        this.#setTimer(effect.timer, effect.key, effect.delayMs);
        return;
      case EffectKind.ClearTimer:
        this.#clearTimer(effect.timer, effect.key);
        return;
      case EffectKind.OpenLink:
        this.options.ports.open(this, effect);
        return;
      case EffectKind.CloseLink:
        this.options.ports.close(this, effect.linkId);
        return;
      default:
        this.options.ports.perform(this, effect);
    }
  }

  #setTimer(timer: TimerKind, key: string, delayMs: number): void {
    this.#clearTimer(timer, key);
    const name = `${timer}/${key}`;
    const scheduled = this.options.time.schedule(delayMs, () => {
      this.#timers.delete(name);
      this.post({ kind: EventKind.Timer, timer, key });
    });
    this.#timers.set(name, scheduled);
  }

  #clearTimer(timer: TimerKind, key: string): void {
    const name = `${timer}/${key}`;
    const scheduled = this.#timers.get(name);
    if (scheduled !== undefined) {
      this.options.time.cancel(scheduled);
      this.#timers.delete(name);
    }
  }
}
