/** @module The part of a fleet-wide allowance that one gateway may use by itself. */
import type { MembersApi } from './directory.js';
import { PeerRole } from './peer-message.js';

/** Gateways assumed while fewer are known: a process that is cut off must not take all for itself. */
const ASSUMED_GATEWAY_COUNT = 12;

/** Remembers how many gateways there were at most. */
export default class GatewayShare {
  #highestCount = ASSUMED_GATEWAY_COUNT;

  private constructor(private readonly members: MembersApi) {}

  /**
   * Creates a share that assumes the usual number of gateways.
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
}
