/**
 * @module Keeps this process's copy of the store current.
 *
 * All items are read page by page; then changes are watched from the revision of the first page.
 * Each answered watch, with or without changes, confirms that the copy was current when it was
 * requested. A store that was
 * restored gives out revisions again, so a watch from before may miss changes: all items are read
 * again.
 */
import { createInstance } from '@ebonysill/kernel';
import { log, setTimer } from './build-effects.js';
import { ServiceName, type Registration } from './directory.js';
import { EffectKind, LogLevel, LogTopic, type Effect } from './effect.js';
import {
  EventKind,
  StoreFailure,
  StoreReadKind,
  type Event,
  type StoreFailedEvent,
  type StoreReadEvent,
} from './event.js';
import { NEVER, ageMsOf, momentNow, type Moment } from './moment.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/**
 * The store answers a watch within this time; if it does not, the connection has failed. The copy is
 * confirmed as of the request, so its age reaches twice this time in calm, which has to stay below
 * what readiness and refusals allow.
 */
const WATCH_WAIT_MS = 1_200;

/**
 * An answer this old says little about the present: the process or the network stood still. A watch
 * that does not wait follows it.
 */
const LATE_ANSWER_MS = WATCH_WAIT_MS + 500;

/**
 * Minimum delay after a failure. With the jitter, 30 processes stay far below the request rate that
 * the store allows.
 */
const RETRY_BASE_MS = 120;

/** Jitter on the delay after a failure, so that processes do not retry at the same time. */
const RETRY_JITTER_MS = 200;

/**
 * Minimum time between two watches; bounds the number of calls while many items change. Every bound on
 * changes is two seconds or more.
 */
const MIN_WATCH_GAP_MS = 300;

const TIMER_KEY = 0;

/** Options of the service; it uses the clocks and the random numbers of `runtime`. */
export interface StoreOptions {
  readonly runtime: Runtime;
}

/** Reads and watches the store. */
class StoreService {
  #isLoaded = false;

  #revision = 0;

  #firstPageRevision: number | undefined;

  /** When the read was requested whose answer confirmed the copy last. */
  #confirmedAt = NEVER;

  #isLost = false;

  /** When the read in progress was requested; for pages, the first of them. */
  #requestedAt = NEVER;

  #era: number | undefined;

  #wasRestored = false;

  private constructor(private readonly runtime: Runtime) {}

  static create(runtime: Runtime): StoreService {
    return new StoreService(runtime);
  }

  readonly isLoaded = (): boolean => this.#isLoaded;

  readonly wasRestored = (): boolean => this.#wasRestored;

  readonly ageMs = (): number => ageMsOf(this.runtime, this.#confirmedAt);

  readonly confirmedAt = (): Moment => this.#confirmedAt;

  start(): readonly Effect[] {
    return this.#readPages(undefined);
  }

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.StoreRead:
        this.#wasRestored = this.#isRestored(event.era);
        return this.#wasRestored
          ? [...this.#onRestored(), ...this.#readPages(undefined)]
          : this.#onRead(event);
      case EventKind.StoreFailed:
        this.#wasRestored = this.#isRestored(event.era);
        return [...(this.#wasRestored ? this.#onRestored() : []), ...this.#onFailed(event)];
      case EventKind.TimerFired:
        return event.timer === TimerKind.StoreRetry ? this.#retry() : [];
      default:
        return [];
    }
  }

  #readPages(afterKey: string | undefined): readonly Effect[] {
    if (afterKey === undefined) {
      this.#requestedAt = momentNow(this.runtime);
    }
    return [
      {
        kind: EffectKind.ReadStore,
        read: StoreReadKind.Page,
        afterRevision: 0,
        waitMs: 0,
        ...(afterKey === undefined ? {} : { afterKey }),
      },
    ];
  }

  #watch(waitMs = WATCH_WAIT_MS): readonly Effect[] {
    this.#requestedAt = momentNow(this.runtime);
    return [
      {
        kind: EffectKind.ReadStore,
        read: StoreReadKind.Watch,
        afterRevision: this.#revision,
        waitMs,
      },
    ];
  }

  #onRead(event: StoreReadEvent): readonly Effect[] {
    return event.read === StoreReadKind.Page ? this.#onPage(event) : this.#onWatch(event);
  }

  /** Whether the store was restored since its last answer; records its era. */
  #isRestored(era: number | undefined): boolean {
    const known = this.#era;
    this.#era = era ?? known;
    return era !== undefined && known !== undefined && era !== known;
  }

  /** Discards what was read so far of the items; the copy in use stays until they are read again. */
  #onRestored(): readonly Effect[] {
    this.#isLoaded = false;
    this.#firstPageRevision = undefined;
    const era = this.#era === undefined ? {} : { era: this.#era };
    return [log(LogLevel.Warn, LogTopic.StoreRestored, { ...era, version: this.#revision })];
  }

  #onPage({ revision, nextAfterKey }: StoreReadEvent): readonly Effect[] {
    this.#firstPageRevision ??= revision;
    if (nextAfterKey !== undefined) {
      return this.#readPages(nextAfterKey);
    }
    this.#revision = this.#firstPageRevision;
    this.#firstPageRevision = undefined;
    this.#isLoaded = true;
    return [...this.#confirm(), ...this.#watch()];
  }

  #onWatch({ revision }: StoreReadEvent): readonly Effect[] {
    this.#revision = Math.max(this.#revision, revision);
    const elapsedMs = ageMsOf(this.runtime, this.#requestedAt);
    const regained = this.#confirm();
    if (elapsedMs < MIN_WATCH_GAP_MS) {
      const delayMs = MIN_WATCH_GAP_MS - elapsedMs;
      return [...regained, setTimer(TimerKind.StoreRetry, TIMER_KEY, delayMs)];
    }
    return [...regained, ...this.#watch(elapsedMs > LATE_ANSWER_MS ? 0 : WATCH_WAIT_MS)];
  }

  #confirm(): readonly Effect[] {
    this.#confirmedAt = this.#requestedAt;
    if (!this.#isLost) {
      return [];
    }
    this.#isLost = false;
    return [log(LogLevel.Info, LogTopic.StoreRegained, { version: this.#revision })];
  }

  #onFailed({ failure, read, detail }: StoreFailedEvent): readonly Effect[] {
    if (failure === StoreFailure.HistoryExpired) {
      this.#isLoaded = false;
    }
    if (read === StoreReadKind.Page) {
      this.#firstPageRevision = undefined;
    }
    const delayMs = RETRY_BASE_MS + this.runtime.random() * RETRY_JITTER_MS;
    return [...this.#markLost(`${failure}: ${detail}`), setTimer(TimerKind.StoreRetry, 0, delayMs)];
  }

  #markLost(detail: string): readonly Effect[] {
    if (this.#isLost) {
      return [];
    }
    this.#isLost = true;
    const knowledgeAgeMs = Math.round(this.ageMs());
    return [log(LogLevel.Warn, LogTopic.StoreLost, { detail, knowledgeAgeMs })];
  }

  /** After a failure, a watch that does not wait confirms the copy soonest. */
  #retry(): readonly Effect[] {
    if (!this.#isLoaded) {
      return this.#readPages(undefined);
    }
    return this.#isLost ? this.#watch(0) : this.#watch();
  }
}

/**
 * Registers the service that keeps the copy of the store.
 *
 * @example
 * const services = [storeRegistration({ runtime }), catalogueRegistration({ runtime })];
 */
export const storeRegistration = ({ runtime }: StoreOptions): Registration<ServiceName.Store> => ({
  name: ServiceName.Store,
  requires: [],
  create: () => {
    const service = StoreService.create(runtime);
    return createInstance(
      {
        isLoaded: service.isLoaded,
        wasRestored: service.wasRestored,
        ageMs: service.ageMs,
        confirmedAt: service.confirmedAt,
      },
      { start: () => service.start(), handle: (event) => service.handle(event) },
    );
  },
});
