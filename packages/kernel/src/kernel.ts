/** @module Micro-kernel: starts services, dispatches events to them and performs their effects. */
import { Inbox } from './inbox.js';
import InvariantError from './InvariantError.js';
import type { Find, ServiceInstance, ServiceRegistration } from './service.js';
import { startOrder } from './start-order.js';

/** Options of a kernel. */
export interface KernelOptions<TDirectory, TEvent, TEffect> {
  /** Services of the process, in any order. */
  readonly services: readonly ServiceRegistration<TDirectory, TEvent, TEffect>[];
  /** Real or virtual time of the process in milliseconds. */
  readonly nowMs: () => number;
  /** Performs one effect on the ports, which connect the process to the outside. */
  readonly perform: (effect: TEffect) => void;
  /** Called once, when every service has drained. */
  readonly onDrained: () => void;
  /** Called when a service or an effect threw while an event was handled; the process must stop. */
  readonly onFatalError: (error: unknown) => void;
}

interface RunningService<TDirectory, TEvent, TEffect> {
  readonly name: keyof TDirectory;
  readonly instance: ServiceInstance<unknown, TEvent, TEffect>;
}

enum Phase {
  Created,
  Running,
  Draining,
  Drained,
}

/** Runs the services of one process on a single event loop. */
export class Kernel<TDirectory, TEvent, TEffect> {
  readonly #running: readonly RunningService<TDirectory, TEvent, TEffect>[];

  readonly #inbox: Inbox<TEvent>;

  #phase = Phase.Created;

  #drainedCount = 0;

  #drainStartedCount = 0;

  private constructor(private readonly options: KernelOptions<TDirectory, TEvent, TEffect>) {
    this.#inbox = Inbox.create<TEvent>(options);
    this.#running = Kernel.#createServices(options.services);
  }

  /**
   * Creates a kernel and its services in dependency order, without starting them.
   *
   * @example
   * const kernel = Kernel.create({ services, nowMs, perform, onDrained, onFatalError });
   * kernel.start();
   */
  static create<TDirectory, TEvent, TEffect>(
    options: KernelOptions<TDirectory, TEvent, TEffect>,
  ): Kernel<TDirectory, TEvent, TEffect> {
    return new Kernel(options);
  }

  /** Returns the API of a service, for use by ports. */
  readonly find: Find<TDirectory> = (wanted) => {
    const running = this.#running.find(({ name }) => name === wanted);
    if (running === undefined) {
      throw new InvariantError(`service "${String(wanted)}" is not registered`);
    }
    return running.instance.api as TDirectory[typeof wanted];
  };

  /** Starts the services in dependency order and begins to dispatch events. */
  start(): void {
    this.#phase = Phase.Running;
    this.#inbox.stream
      .map((event) => this.#dispatch(event))
      .observe((effects) => this.#onEffects(effects))
      .catch((error: unknown) => this.options.onFatalError(error));
    this.#running.forEach(({ instance }) => this.#performAll(instance.start()));
  }

  /** Posts an event. It is handled before this returns, unless another is being handled. */
  post(event: TEvent): void {
    this.#inbox.post(event);
  }

  /**
   * Begins the drain phase: services drain one after another, each before the services that it
   * requires. No effect unless the kernel is running.
   */
  drain(): void {
    if (this.#phase === Phase.Running) {
      this.#phase = Phase.Draining;
      this.#advanceDrain();
    }
  }

  /** Stops handling events at once, without draining, as in a crash. */
  kill(): void {
    this.#inbox.close();
    this.#phase = Phase.Drained;
  }

  static #createServices<TDirectory, TEvent, TEffect>(
    registrations: readonly ServiceRegistration<TDirectory, TEvent, TEffect>[],
  ): readonly RunningService<TDirectory, TEvent, TEffect>[] {
    const apis = new Map<keyof TDirectory, TDirectory[keyof TDirectory]>();
    return startOrder<keyof TDirectory, ServiceRegistration<TDirectory, TEvent, TEffect>>(
      registrations,
    ).map(({ name, requires, create }) => {
      const find: Find<TDirectory> = (wanted) => {
        if (!requires.includes(wanted) || !apis.has(wanted)) {
          throw new InvariantError(`"${String(name)}" does not require "${String(wanted)}"`);
        }
        return apis.get(wanted) as TDirectory[typeof wanted];
      };
      const instance = create(find);
      apis.set(name, instance.api);
      return { name, instance };
    });
  }

  #dispatch(event: TEvent): readonly TEffect[] {
    return this.#running.flatMap(({ instance }) => instance.handle(event));
  }

  #onEffects(effects: readonly TEffect[]): void {
    this.#performAll(effects);
    if (this.#phase === Phase.Draining) {
      this.#advanceDrain();
    }
  }

  #advanceDrain(): void {
    const reversed = [...this.#running].reverse();
    const next = reversed[this.#drainedCount];
    if (next === undefined) {
      this.#phase = Phase.Drained;
      this.options.onDrained();
      return;
    }
    if (this.#drainStartedCount === this.#drainedCount) {
      this.#drainStartedCount += 1;
      this.#performAll(next.instance.drain());
    }
    if (next.instance.isDrained()) {
      this.#drainedCount += 1;
      this.#advanceDrain();
    }
  }

  #performAll(effects: readonly TEffect[]): void {
    effects.forEach(this.options.perform);
  }
}
