/**
 * @module Decides whether live peers name a later configuration than the one of this gateway.
 *
 * A store that was restored from a copy may return an older configuration than the one in force. A
 * gateway that starts then has no configuration of its own that it could keep.
 */

/** Configuration of a gateway, with the era of the store from which it was read. */
export interface ConfigurationMark {
  readonly version: number;
  /** How often the store had been restored; absent when the store does not tell. */
  readonly era?: number;
}

/** Configuration that a peer names. */
export interface NamedConfiguration extends ConfigurationMark {
  readonly address: string;
  /** Questions to the peer since its last answer. */
  readonly unansweredCount: number;
}

/** Inputs of the decision. */
export interface FloorInputs {
  readonly own: ConfigurationMark;
  readonly named: readonly NamedConfiguration[];
}

/** Floor for the configuration; it may be served if no peer is ahead of it. */
export interface Floor {
  /** Highest version that a live peer names; 0 without any. */
  readonly version: number;
  /** Addresses of the live peers that name a later configuration. */
  readonly aheadAddresses: readonly string[];
}

/** Decides which configuration is too old to serve. */
export type DecideFloor = (inputs: FloorInputs) => Floor;

/**
 * Questions without an answer after which a peer counts as gone. At five a second, that is as long
 * as members take to expire. Questions are counted instead of time, so that a process that was
 * suspended does not take its peers for gone.
 */
const MAX_UNANSWERED = 12;

const isAhead = (named: ConfigurationMark, own: ConfigurationMark): boolean =>
  named.version > own.version ||
  (named.era !== undefined && own.era !== undefined && named.era > own.era);

/**
 * Takes the highest version that a peer names that still answers. A peer that names a lower one
 * changes nothing, and one that names an absurd one counts only for as long as it answers.
 *
 * @example
 * floorOfLivePeers({ own: { version: 7 }, named }).aheadAddresses.length === 0;
 */
export const floorOfLivePeers: DecideFloor = ({ own, named }) => {
  const live = named.filter(({ unansweredCount }) => unansweredCount <= MAX_UNANSWERED);
  return {
    version: live.reduce((highest, { version }) => Math.max(highest, version), 0),
    aheadAddresses: live.filter((peer) => isAhead(peer, own)).map(({ address }) => address),
  };
};
