/** @module Tells peers the load of the target. */
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

/** What a teller asks. */
interface LoadSources {
  readonly configuration: ConfigurationApi;
  readonly links: LinksApi;
  readonly readLoad: () => LoadReport;
}

/** Tells the load of one target. */
export default class LoadPublisher {
  #publishedState = TargetState.Down;

  #publishedLimit = 0;

  private constructor(private readonly sources: LoadSources) {}

  /**
   * Creates a teller that has told nothing.
   *
   * @example
   * const teller = LoadTeller.create({ configuration, links, readLoad });
   */
  static create(sources: LoadSources): LoadPublisher {
    return new LoadPublisher(sources);
  }

  /** Tells one peer at once, so that it sees that the link works and what it added. */
  acknowledge(linkId: string): Effect {
    return this.#sendReport(linkId, []);
  }

  /** Tells every peer at once when the target takes more or less than before. */
  publishChange(): readonly Effect[] {
    const { state, limit } = this.sources.readLoad();
    if (state === this.#publishedState && limit === this.#publishedLimit) {
      return [];
    }
    this.#publishedState = state;
    this.#publishedLimit = limit;
    return this.publish([]);
  }

  /** Tells every peer, with what became suspect. */
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
