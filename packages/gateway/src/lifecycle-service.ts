/** @module Readiness for new connections, and the drain before the process ends. */
import { createInstance } from '@ebonysill/kernel';
import { log, setTimer } from './build-effects.js';
import {
  ServiceName,
  type CatalogueApi,
  type FindService,
  type PeerKnowledgeApi,
  type Registration,
  type StoreApi,
} from './directory.js';
import { EffectKind, LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, type Event } from './event.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/** Options of the service; it uses the clock of `runtime`. */
export interface LifecycleOptions {
  readonly runtime: Runtime;
  /** Time between the signal to stop and the forced end of the process. */
  readonly graceMs: number;
}

/** By then the load balancer has removed this process, after two failed checks a second apart. */
const CLOSE_IDLE_AFTER_MS = 2_200;

/**
 * Time into the drain in which callers may not know of it, so that all requests are accepted. Streams
 * that begin later would hold up the drain.
 */
const ACCEPT_ALL_MS = 3_000;

/** Remaining grace period at which requests without an answer so far are answered as failed. */
const ANSWER_MARGIN_MS = 500;

/** Remaining grace period at which the process stops even with open exchanges. */
const STOP_MARGIN_MS = 400;

/** Remaining grace period at which new connections are refused; requests are by then. */
const STOP_ACCEPTING_MARGIN_MS = 1_900;

/** Time in which the listener closes and what was sent before is read and answered. */
const LAST_REQUESTS_MS = 500;

/** Interval of the check for the end of the drain. */
const DRAIN_CHECK_INTERVAL_MS = 100;

/** Age of the store copy from which a process that checks credentials is not ready. */
const MAX_READY_AGE_MS = 3_500;

class LifecycleService {
  #drainStartedAtMs: number | undefined;

  #acceptingStoppedAtMs: number | undefined;

  #openCount = 0;

  #hasConnections = true;

  /** Whether requests without an answer were answered; they are before the process stops. */
  #hasAnsweredAll = false;

  readonly #catalogue: CatalogueApi;

  readonly #store: StoreApi;

  readonly #peerKnowledge: PeerKnowledgeApi;

  private constructor(
    private readonly options: LifecycleOptions,
    find: FindService,
  ) {
    this.#catalogue = find(ServiceName.Catalogue);
    this.#store = find(ServiceName.Store);
    this.#peerKnowledge = find(ServiceName.PeerKnowledge);
  }

  static create(options: LifecycleOptions, find: FindService): LifecycleService {
    return new LifecycleService(options, find);
  }

  readonly isDraining = (): boolean => this.#drainStartedAtMs !== undefined;

  readonly isReady = (): boolean =>
    !this.isDraining() &&
    this.#catalogue.version() > 0 &&
    this.#peerKnowledge.isConfigurationCurrent() &&
    (this.#store.ageMs() < MAX_READY_AGE_MS || !this.#catalogue.needsCredentials());

  readonly mayBegin = (isStream: boolean, longestMs: number): boolean => {
    const elapsedMs = this.#drainingForMs();
    const endsInTime = !isStream && elapsedMs + longestMs <= this.#answerAtMs;
    return elapsedMs < ACCEPT_ALL_MS || endsInTime;
  };

  readonly isEnding = (): boolean => this.#drainingForMs() >= this.#answerAtMs;

  readonly recordExchangeStart = (): void => {
    this.#openCount += 1;
  };

  readonly recordExchangeEnd = (): void => {
    this.#openCount -= 1;
  };

  readonly drain = (): readonly Effect[] => {
    if (this.isDraining()) {
      return [];
    }
    this.#drainStartedAtMs = this.options.runtime.nowMs();
    return [
      log(LogLevel.Info, LogTopic.Draining, { count: this.#openCount }),
      setTimer(TimerKind.DrainEnd, 0, CLOSE_IDLE_AFTER_MS),
    ];
  };

  handle(event: Event): readonly Effect[] {
    if (event.kind === EventKind.CallersDisconnected) {
      this.#hasConnections = false;
    }
    return event.kind === EventKind.TimerFired && event.timer === TimerKind.DrainEnd
      ? this.#checkDrain()
      : [];
  }

  /** Time since the drain began; negative infinity before it. */
  #drainingForMs(): number {
    return this.options.runtime.nowMs() - (this.#drainStartedAtMs ?? Number.POSITIVE_INFINITY);
  }

  /** Time into the drain by which every request must have its answer. */
  get #answerAtMs(): number {
    return this.options.graceMs - ANSWER_MARGIN_MS;
  }

  /** Callers may still use open connections, so the process runs for most of the grace period. */
  #checkDrain(): readonly Effect[] {
    const { graceMs } = this.options;
    const elapsedMs = this.#drainingForMs();
    if (this.#mayStop(graceMs - elapsedMs)) {
      return [
        { kind: EffectKind.CloseIdleCallers },
        log(LogLevel.Info, LogTopic.Stopped, { count: this.#openCount }),
        { kind: EffectKind.Stop },
      ];
    }
    this.#hasAnsweredAll = this.isEnding();
    const isLastPhase = elapsedMs >= graceMs - STOP_ACCEPTING_MARGIN_MS;
    return [
      { kind: EffectKind.CloseIdleCallers },
      ...(isLastPhase ? this.#stopAccepting() : []),
      setTimer(TimerKind.DrainEnd, 0, DRAIN_CHECK_INTERVAL_MS),
    ];
  }

  /** Exits of a process that still accepts would reset the connections that it has just accepted. */
  #stopAccepting(): readonly Effect[] {
    if (this.#acceptingStoppedAtMs !== undefined) {
      return [];
    }
    this.#acceptingStoppedAtMs = this.options.runtime.nowMs();
    return [{ kind: EffectKind.StopAccepting }];
  }

  /** A connection that was just accepted may still bring its request. */
  #mayStop(graceLeftMs: number): boolean {
    const stoppedMs =
      this.options.runtime.nowMs() - (this.#acceptingStoppedAtMs ?? Number.POSITIVE_INFINITY);
    return (
      (graceLeftMs <= STOP_MARGIN_MS && this.#hasAnsweredAll) ||
      (this.#openCount === 0 && !this.#hasConnections && stoppedMs >= LAST_REQUESTS_MS)
    );
  }
}

/**
 * Registers the service for readiness and the drain.
 *
 * @example
 * lifecycleRegistration({ runtime, graceMs: 8_000 });
 */
export const lifecycleRegistration = (
  options: LifecycleOptions,
): Registration<ServiceName.Lifecycle> => ({
  name: ServiceName.Lifecycle,
  requires: [ServiceName.Catalogue, ServiceName.Store, ServiceName.PeerKnowledge],
  create: (find) => {
    const service = LifecycleService.create(options, find);
    return createInstance(
      {
        isReady: service.isReady,
        isDraining: service.isDraining,
        mayBegin: service.mayBegin,
        isEnding: service.isEnding,
        recordExchangeStart: service.recordExchangeStart,
        recordExchangeEnd: service.recordExchangeEnd,
        drain: service.drain,
      },
      { handle: (event) => service.handle(event) },
    );
  },
});
