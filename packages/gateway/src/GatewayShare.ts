/** @module The part that one gateway may use of an allowance for all gateways together. */
import type { MembersApi } from './directory.js';
import { digestOf } from './fingerprint.js';
import { PeerRole } from './peer-message.js';
import RecentMap from './RecentMap.js';

/** Minimum gateway count assumed, so that an isolated process does not use the whole allowance. */
const ASSUMED_GATEWAY_COUNT = 12;

/** Names of gateways that are remembered, those of replaced ones included. */
const MAX_NAMES = 1_024;

/** Place of one gateway among all. */
export interface GatewayPlace {
  readonly index: number;
  readonly count: number;
}

/** Divides allowances by the highest number of gateways that was known at any time. */
export default class GatewayShare {
  #highestCount = ASSUMED_GATEWAY_COUNT;

  readonly #names = RecentMap.create<true>(MAX_NAMES);

  private constructor(private readonly members: MembersApi) {}

  /**
   * Creates a share that starts with the minimum gateway count.
   *
   * @example
   * const share = GatewayShare.create(find(ServiceName.Members));
   */
  static create(members: MembersApi): GatewayShare {
    return new GatewayShare(members);
  }

  /** Part of `allowance` that is safe if every gateway uses as much. */
  of(allowance: number): number {
    const count = this.members.others(PeerRole.Gateway).length + 1;
    this.#highestCount = Math.max(this.#highestCount, count);
    return allowance / this.#highestCount;
  }

  /**
   * Place of this gateway among all that were known at any time, so that one that loses its peers keeps its
   * place. A gateway that never knew another takes a place by its name.
   */
  place(): GatewayPlace {
    const { name } = this.members.self();
    this.members.others(PeerRole.Gateway).forEach((other) => this.#names.set(other.name, true));
    const others = [...this.#names.keys()].filter((other) => other !== name);
    const count = Math.max(ASSUMED_GATEWAY_COUNT, others.length + 1);
    const index =
      others.length === 0 ? digestOf(name) % count : others.filter((other) => other < name).length;
    return { index, count };
  }
}
