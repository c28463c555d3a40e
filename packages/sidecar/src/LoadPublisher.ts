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
export default class LoadTeller {
  #toldState = TargetState.Down;

  #toldLimit = 0;

  private constructor(private readonly sources: LoadSources) {}

  /**
   * Creates a teller that has told nothing.
   *
   * @example
   * const teller = LoadTeller.create({ configuration, links, readLoad });
   */
  static create(sources: LoadSources): LoadTeller {
    return new LoadTeller(sources);
  }

  /** Tells one peer at once, so that it sees that the link works and what it added. */
  acknowledge(linkId: string): Effect {
    return this.#tell(linkId, []);
  }

  /** Tells every peer at once when the target takes more or less than before. */
  tellChange(): readonly Effect[] {
    const { state, limit } = this.sources.readLoad();
    if (state === this.#toldState && limit === this.#toldLimit) {
      return [];
    }
    this.#toldState = state;
    this.#toldLimit = limit;
    return this.tellAll([]);
  }

  /** Tells every peer, with what became suspect. */
  tellAll(suspicions: readonly CrashSuspicion[]): readonly Effect[] {
    return this.sources.links.peers().map(({ linkId }) => this.#tell(linkId, suspicions));
  }

  #tell(linkId: string, suspicions: readonly CrashSuspicion[]): Effect {
    return send(linkId, {
      kind: MessageKind.HeartbeatAck,
      revision: this.sources.configuration.revision(),
      load: this.sources.readLoad(),
      ...(suspicions.length === 0 ? {} : { suspicions }),
    });
  }
}
