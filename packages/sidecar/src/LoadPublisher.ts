/** @module Publishes the load of the target to peers. */
import {
  MessageKind,
  TargetState,
  type ConfigurationApi,
  type CrashSuspicion,
  type Effect,
  type LinksApi,
  type LoadReport,
} from '@ebonysill/core';
import { send } from '@ebonysill/fleet';

interface LoadSources {
  readonly configuration: ConfigurationApi;
  readonly links: LinksApi;
  readonly readLoad: () => LoadReport;
}

/** Sends load reports of one target, in heartbeat acknowledgements. */
export default class LoadPublisher {
  #publishedState = TargetState.Down;

  #publishedLimit = 0;

  private constructor(private readonly sources: LoadSources) {}

  /**
   * Creates a publisher that has sent nothing.
   *
   * @example
   * const publisher = LoadPublisher.create({ configuration, links, readLoad });
   */
  static create(sources: LoadSources): LoadPublisher {
    return new LoadPublisher(sources);
  }

  /**
   * Sends the load to one peer at once, so that it sees that the link works and how much load its
   * run added.
   */
  acknowledge(linkId: string): Effect {
    return this.#sendReport(linkId, []);
  }

  /** Publishes the load at once when the state or the limit of the target has changed. */
  publishChange(): readonly Effect[] {
    const { state, limit } = this.sources.readLoad();
    if (state === this.#publishedState && limit === this.#publishedLimit) {
      return [];
    }
    this.#publishedState = state;
    this.#publishedLimit = limit;
    return this.publish([]);
  }

  /** Sends the load to every peer, with new crash suspicions. */
  publish(suspicions: readonly CrashSuspicion[]): readonly Effect[] {
    return this.sources.links.peers().map(({ linkId }) => this.#sendReport(linkId, suspicions));
  }

  #sendReport(linkId: string, suspicions: readonly CrashSuspicion[]): Effect {
    return send(linkId, {
      kind: MessageKind.HeartbeatAck,
      revision: this.sources.configuration.revision(),
      load: this.sources.readLoad(),
      ...(suspicions.length === 0 ? {} : { suspicions }),
    });
  }
}
