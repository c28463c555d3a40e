/** @module Tracks the state of the sidecar's target by reading its health. */
import {
  EffectKind,
  EventKind,
  LogLevel,
  LogTopic,
  ServiceName,
  TargetState,
  TimerKind,
  type ConfigurationApi,
  type Effect,
  type Event,
  type Registration,
  type TargetMonitorApi,
} from '@ebonysill/core';
import { log, setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';

/** Time between reads of the target's health. */
const HEALTH_INTERVAL_MS = 500;

const TIMER_KEY = 'health';

/** Options of {@link targetMonitorRegistration}. */
export interface TargetMonitorOptions {
  readonly targetId: string;
}

class TargetMonitorService {
  #state = TargetState.Down;

  /** Whether the event that is being handled is a health report, so that the state is current. */
  #isHealthEvent = false;

  /** Whether a health read is in progress; `start` begins the first. */
  #isReading = true;

  private constructor(
    private readonly targetId: string,
    private readonly configuration: ConfigurationApi,
  ) {}

  static create(
    options: TargetMonitorOptions,
    configuration: ConfigurationApi,
  ): TargetMonitorService {
    return new TargetMonitorService(options.targetId, configuration);
  }

  readonly api: TargetMonitorApi = {
    state: () => this.#state,
    limit: () => this.#limit(),
    confirmedLimit: () => this.#confirmedLimit(),
    refresh: () => this.#refresh(),
  };

  handle(event: Event): readonly Effect[] {
    this.#isHealthEvent = event.kind === EventKind.TargetHealth;
    switch (event.kind) {
      case EventKind.Timer:
        return event.timer === TimerKind.TargetHealth ? this.#refresh() : [];
      case EventKind.TargetHealth:
        this.#isReading = false;
        return [
          ...this.#setState(TargetMonitorService.#stateOf(event.isUp, event.isCold)),
          setTimer(TimerKind.TargetHealth, TIMER_KEY, HEALTH_INTERVAL_MS),
        ];
      case EventKind.TargetError:
        return this.#state === TargetState.Warm ? this.#setState(TargetState.Cold) : [];
      default:
        return [];
    }
  }

  static readHealth(): Effect {
    return { kind: EffectKind.ReadTargetHealth };
  }

  static #stateOf(isUp: boolean, isCold: boolean): TargetState {
    if (!isUp) {
      return TargetState.Down;
    }
    return isCold ? TargetState.Cold : TargetState.Warm;
  }

  #setState(state: TargetState): readonly Effect[] {
    if (state === this.#state) {
      return [];
    }
    this.#state = state;
    return [
      log(LogLevel.Info, LogTopic.TargetStateChanged, { targetId: this.targetId, detail: state }),
    ];
  }

  #refresh(): readonly Effect[] {
    if (this.#isReading) {
      return [];
    }
    this.#isReading = true;
    return [TargetMonitorService.readHealth()];
  }

  #confirmedLimit(): number {
    const coldLimit = this.configuration.target(this.targetId)?.coldConcurrency ?? 0;
    return this.#isHealthEvent ? this.#limit() : Math.min(this.#limit(), coldLimit);
  }

  #limit(): number {
    const target = this.configuration.target(this.targetId);
    if (target === undefined) {
      return 0;
    }
    switch (this.#state) {
      case TargetState.Warm:
        return target.concurrency;
      case TargetState.Cold:
        return target.coldConcurrency;
      case TargetState.Draining:
      case TargetState.Down:
        return 0;
      default:
        return this.#state satisfies never;
    }
  }
}

/**
 * Registers the target monitor.
 *
 * @example
 * targetMonitorRegistration({ targetId: 'assistant-1' });
 */
export const targetMonitorRegistration = (
  options: TargetMonitorOptions,
): Registration<ServiceName.TargetMonitor> => ({
  name: ServiceName.TargetMonitor,
  requires: [ServiceName.Configuration],
  create: (find) => {
    const service = TargetMonitorService.create(options, find(ServiceName.Configuration));
    return createInstance(service.api, {
      start: () => [TargetMonitorService.readHealth()],
      handle: (event) => service.handle(event),
    });
  },
});
