/** @module Published addresses of a group's engines, by rank. */
import {
  EffectKind,
  PeerMessageKind,
  PeerRole,
  sendToPeer,
  type Effect,
  type MembersApi,
  type RankReportedEvent,
} from '@ebonysill/gateway';

/** Options of a directory. */
export interface EngineDirectoryOptions {
  readonly nowMs: () => number;
  readonly members: MembersApi;
}

/** Interval at which missing addresses are requested from a gateway. */
const REQUEST_INTERVAL_MS = 2_000;

/** Interval of announcements to gateways; a restarted gateway waits for the next. */
const ANNOUNCE_INTERVAL_MS = 2_000;

/**
 * Finds the address at which each engine can be reached from any process. A gateway lists the
 * addresses of the service, and the engine at each address reports its rank. The addresses by which
 * agents reach their own engines are not enough, since they fail together with the agents' hosts.
 */
export default class EngineDirectory {
  #epoch = 0;

  readonly #addresses = new Map<number, string>();

  #requestedAtMs = Number.NEGATIVE_INFINITY;

  #announcedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: EngineDirectoryOptions) {}

  /**
   * Creates a directory without addresses.
   *
   * @example
   * const directory = EngineDirectory.create({ nowMs, members });
   */
  static create(options: EngineDirectoryOptions): EngineDirectory {
    return new EngineDirectory(options);
  }

  /** IP address and port of a rank's engine; undefined until found in this epoch. */
  addressOf(rank: number): string | undefined {
    return this.#addresses.get(rank);
  }

  /** Announces the group's addresses to all gateways, at an interval, once all are known. */
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

  /** Requests addresses from a gateway, at an interval, until all of this epoch are known. */
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

  /** Asks the engine at each address that has no known rank for its report. */
  onAddresses(addresses: readonly string[]): readonly Effect[] {
    const known = new Set(this.#addresses.values());
    return addresses
      .filter((address) => !known.has(address))
      .map((engineAddress) => ({ kind: EffectKind.QueryRank, engineAddress }));
  }

  /** Records the rank of the engine that answered; ignores engines of other groups or epochs. */
  recordReport({ engineAddress, report }: RankReportedEvent): void {
    const isOwnGroup =
      report?.groupName === this.options.members.self().groupName && report?.epoch === this.#epoch;
    if (report !== undefined && engineAddress !== undefined && isOwnGroup) {
      this.#addresses.set(report.rank, engineAddress);
    }
  }
}
