/** @module The part that one gateway may use of an allowance for all gateways together. */
import type { MembersApi } from './directory.js';
import { PeerRole } from './peer-message.js';

/** Minimum gateway count assumed, so that an isolated process does not use the whole allowance. */
const ASSUMED_GATEWAY_COUNT = 12;

/** Divides allowances by the highest number of gateways that was known at any time. */
export default class GatewayShare {
  #highestCount = ASSUMED_GATEWAY_COUNT;

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
}
