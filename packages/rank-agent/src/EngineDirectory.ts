/** @module Published addresses of the engines of a group, by rank. */
import {
  EffectKind,
  PeerMessageKind,
  PeerRole,
  sendToPeer,
  type Effect,
  type MembersApi,
  type RankReportedEvent,
} from '@ebonysill/gateway';

/** What a directory is created from. */
export interface EngineDirectoryOptions {
  readonly nowMs: () => number;
  readonly members: MembersApi;
}

/** How often addresses that are missing are asked for. */
const REQUEST_INTERVAL_MS = 2_000;

/** How often gateways are told; a gateway that started anew knows nothing until then. */
const ANNOUNCE_INTERVAL_MS = 2_000;

/**
 * Finds out at which address each engine answers everybody: gateways know the addresses, engines
 * tell their ranks. Agents reach their engines by an address that fails with their hosts.
 */
export default class EngineDirectory {
  #epoch = 0;

  readonly #addresses = new Map<number, string>();

  #requestedAtMs = Number.NEGATIVE_INFINITY;

  #announcedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: EngineDirectoryOptions) {}

  /**
   * Creates a directory that knows nothing.
   *
   * @example
   * const directory = EngineDirectory.create({ nowMs, members });
   */
  static create(options: EngineDirectoryOptions): EngineDirectory {
    return new EngineDirectory(options);
  }

  /** Address of the engine of a rank. */
  addressOf(rank: number): string | undefined {
    return this.#addresses.get(rank);
  }

  /** Tells gateways which addresses belong to the group, now and then. */
  announceGroupTargets(rankCount: number): readonly Effect[] {
    const { nowMs, members } = this.options;
    const { groupName } = members.self();
    const isDue = nowMs() - this.#announcedAtMs >= ANNOUNCE_INTERVAL_MS;
    if (!isDue || groupName === undefined || this.#addresses.size < rankCount) {
      return [];
    }
    this.#announcedAtMs = nowMs();
    const addresses = [...this.#addresses.values()];
    return members
      .others(PeerRole.Gateway)
      .map(({ address }) =>
        sendToPeer(address, { kind: PeerMessageKind.GroupTargets, groupName, addresses }),
      );
  }

  /** Asks a gateway while addresses of this epoch are missing. */
  requestAddresses(epoch: number, rankCount: number): readonly Effect[] {
    const { nowMs, members } = this.options;
    if (epoch !== this.#epoch) {
      this.#epoch = epoch;
      this.#addresses.clear();
    }
    const { serviceName } = members.self();
    const [gateway] = members.others(PeerRole.Gateway);
    const isDue =
      this.#addresses.size < rankCount && nowMs() - this.#requestedAtMs >= REQUEST_INTERVAL_MS;
    if (!isDue || gateway === undefined || serviceName === undefined) {
      return [];
    }
    this.#requestedAtMs = nowMs();
    return [sendToPeer(gateway.address, { kind: PeerMessageKind.FindTargets, serviceName })];
  }

  /** Asks the engines at addresses that are not known yet for their ranks. */
  onAddresses(addresses: readonly string[]): readonly Effect[] {
    const known = new Set(this.#addresses.values());
    return addresses
      .filter((address) => !known.has(address))
      .map((engineAddress) => ({ kind: EffectKind.AskRank, engineAddress }));
  }

  /** Takes an engine's answer; one of another group or epoch is passed over. */
  recordReport({ engineAddress, report }: RankReportedEvent): void {
    const isOurs =
      report?.groupName === this.options.members.self().groupName && report?.epoch === this.#epoch;
    if (report !== undefined && engineAddress !== undefined && isOurs) {
      this.#addresses.set(report.rank, engineAddress);
    }
  }
}
