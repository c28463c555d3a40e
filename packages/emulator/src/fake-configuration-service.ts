/**
 * @module A fake configuration service with reads, watches and a call count; it can be down or
 * stale.
 */
import { EventKind, type Configuration, type Event } from '@ebonysill/core';
import type { VirtualTime } from './virtual-time.js';

/** Availability of the service. */
export enum FakeConfigurationMode {
  Up = 'up',
  Down = 'down',
  /** Answers with the configuration that it served when it became stale. */
  Stale = 'stale',
}

const ANSWER_DELAY_MS = 3;

const WATCH_TIMEOUT_MS = 25_000;

interface Watch {
  readonly aboveRevision: number;
  readonly post: (event: Event) => void;
}

/** Serves one configuration to readers and watches. */
export class FakeConfigurationService {
  #served: Configuration | undefined;

  #newest: Configuration | undefined;

  #mode = FakeConfigurationMode.Up;

  #watches: readonly Watch[] = [];

  /** Reads since the start; a watch that is restarted after its time-out counts again. */
  callCount = 0;

  private constructor(private readonly time: VirtualTime) {}

  /**
   * Creates a service without a configuration.
   *
   * @example
   * const service = FakeConfigurationService.create(time);
   */
  static create(time: VirtualTime): FakeConfigurationService {
    return new FakeConfigurationService(time);
  }

  /**
   * Publishes a configuration; while the service is stale, it is served only once the service is
   * up.
   */
  publish(configuration: Configuration): void {
    this.#newest = configuration;
    if (this.#mode !== FakeConfigurationMode.Stale) {
      this.#serve(configuration);
    }
  }

  /**
   * Changes the availability: up serves the newest configuration, down fails the waiting watches.
   */
  setMode(mode: FakeConfigurationMode): void {
    this.#mode = mode;
    if (mode === FakeConfigurationMode.Up && this.#newest !== undefined) {
      this.#serve(this.#newest);
    }
    if (mode === FakeConfigurationMode.Down) {
      const watches = this.#watches;
      this.#watches = [];
      watches.forEach(({ post }) => this.#fail(post));
    }
  }

  /**
   * Answers once a configuration above the given revision is served; fails while the service is
   * down.
   */
  read(aboveRevision: number, post: (event: Event) => void): void {
    this.callCount += 1;
    if (this.#mode === FakeConfigurationMode.Down) {
      this.#fail(post);
      return;
    }
    if (this.#served !== undefined && this.#served.revision > aboveRevision) {
      this.#answer(this.#served, post);
      return;
    }
    const watch = { aboveRevision, post };
    this.#watches = [...this.#watches, watch];
    this.time.schedule(WATCH_TIMEOUT_MS, () => this.#restartWatch(watch));
  }

  #serve(configuration: Configuration): void {
    this.#served = configuration;
    if (this.#mode !== FakeConfigurationMode.Up) {
      return;
    }
    const due = this.#watches.filter(({ aboveRevision }) => configuration.revision > aboveRevision);
    this.#watches = this.#watches.filter((watch) => !due.includes(watch));
    due.forEach(({ post }) => this.#answer(configuration, post));
  }

  /** Restarts a watch that timed out, as the reader's port does. */
  #restartWatch(watch: Watch): void {
    if (this.#watches.includes(watch)) {
      this.#watches = this.#watches.filter((other) => other !== watch);
      this.read(watch.aboveRevision, watch.post);
    }
  }

  #answer(configuration: Configuration, post: (event: Event) => void): void {
    this.time.schedule(ANSWER_DELAY_MS, () =>
      post({ kind: EventKind.ConfigurationRead, configuration }),
    );
  }

  #fail(post: (event: Event) => void): void {
    this.time.schedule(ANSWER_DELAY_MS, () =>
      post({ kind: EventKind.ConfigurationUnavailable, detail: 'no answer' }),
    );
  }
}
