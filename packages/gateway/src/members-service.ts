/**
 * @module Other processes of the system, discovered through seeds and tracked by their hellos.
 *
 * Each process sends hellos to a few contacts. A contact answers with the members whose hellos it
 * received directly, so that a stopped member is not relayed for longer than the expiry. A list
 * that the sender of the hello has already is confirmed by its digest only.
 */
import { createInstance } from '@ebonysill/kernel';
import { log, sendToPeer, setTimer } from './build-effects.js';
import { ServiceName, type Registration } from './directory.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';
import { buildMemberList, type MemberList } from './member-list.js';
import { EventKind, type Event, type PeerMessageEvent } from './event.js';
import { PeerMessageKind, PeerRole, type HelloMessage, type Member } from './peer-message.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';

/** Time between two rounds of hellos; 3 contacts with 2 hellos a second stay below 2 KB/s. */
const HELLO_INTERVAL_MS = 500;

/** Five missed hellos: one lost datagram or a short pause of a process does not expire it. */
const EXPIRY_MS = 2_500;

/** A member known only through a contact expires sooner here than at that contact. */
const RELAYED_EXPIRY_MS = 2_000;

/** Live contacts per round: as many as the maximum number of seeds. */
const CONTACT_COUNT = 3;

const TIMER_KEY = 0;

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface MembersOptions {
  readonly runtime: Runtime;
  readonly self: Member;
  /** Addresses that receive the first hellos; the processes there may be down. */
  readonly seeds: readonly string[];
}

interface KnownMember {
  readonly member: Member;
  /** When its last hello was received; undefined while it is known only through others. */
  readonly lastReceivedAtMs: number | undefined;
  readonly expiresAtMs: number;
}

class MembersService {
  readonly #known = new Map<string, KnownMember>();

  /** Last list received from each contact, by its address. */
  readonly #receivedLists = new Map<string, MemberList>();

  /** Lists that answer hellos, by the sender's role and group; cleared when the members change. */
  readonly #listsToSend = new Map<string, MemberList>();

  #groupName: string | undefined;

  #seeds: readonly string[];

  private constructor(private readonly options: MembersOptions) {
    this.#seeds = options.seeds;
  }

  static create(options: MembersOptions): MembersService {
    return new MembersService(options);
  }

  readonly self = (): Member => ({
    ...this.options.self,
    ...(this.#groupName === undefined ? {} : { groupName: this.#groupName }),
  });

  readonly joinGroup = (groupName: string): void => {
    if (groupName !== this.#groupName) {
      this.#groupName = groupName;
      this.#listsToSend.clear();
    }
  };

  readonly others = (role: PeerRole): readonly Member[] => {
    const nowMs = this.options.runtime.nowMs();
    return [...this.#known.values()]
      .filter(({ member, expiresAtMs }) => member.role === role && expiresAtMs > nowMs)
      .map(({ member }) => member);
  };

  start(): readonly Effect[] {
    return this.#sendHellos();
  }

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.TimerFired:
        return event.timer === TimerKind.Membership
          ? [...this.#expire(), ...this.#sendHellos()]
          : [];
      case EventKind.SeedsChanged:
        this.#seeds = event.seeds;
        return [log(LogLevel.Info, LogTopic.SettingsChanged, { count: event.seeds.length })];
      case EventKind.PeerMessageReceived:
        return this.#onMessage(event);
      default:
        return [];
    }
  }

  #sendHellos(): readonly Effect[] {
    const contacts = this.#contacts();
    [...this.#receivedLists.keys()]
      .filter((address) => !contacts.includes(address))
      .forEach((address) => this.#receivedLists.delete(address));
    return [
      setTimer(TimerKind.Membership, TIMER_KEY, HELLO_INTERVAL_MS),
      ...contacts.map((address) => sendToPeer(address, this.#buildHello(address))),
    ];
  }

  #buildHello(address: string): HelloMessage {
    const received = this.#receivedLists.get(address);
    return {
      kind: PeerMessageKind.Hello,
      member: this.self(),
      ...(received === undefined ? {} : { knownDigest: received.digest }),
    };
  }

  /** Known gateways, seeds first, then others in random order; and all seeds that are not known. */
  #contacts(): readonly string[] {
    const { self, runtime } = this.options;
    const seeds = this.#seeds;
    const known = this.others(PeerRole.Gateway).map(({ address }) => address);
    const live = seeds.filter((seed) => known.includes(seed));
    const others = known
      .filter((address) => !seeds.includes(address))
      .map((address) => ({ address, sortKey: runtime.random() }))
      .sort((left, right) => left.sortKey - right.sortKey)
      .map(({ address }) => address);
    const preferred = [...live, ...others].slice(0, CONTACT_COUNT);
    const silentSeeds = seeds.filter((seed) => !live.includes(seed));
    return [...new Set([...preferred, ...silentSeeds])].filter(
      (address) => address !== self.address,
    );
  }

  #onMessage({ address, message }: PeerMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case PeerMessageKind.Hello:
        return [...this.#recordDirect(message.member), this.#answerHello(address, message)];
      case PeerMessageKind.Members:
        this.#receivedLists.set(address, message);
        return message.members.flatMap((member) => this.#recordRelayed(member));
      case PeerMessageKind.MembersUnchanged:
        return this.#onUnchanged(address, message.digest);
      default:
        return [];
    }
  }

  /** If this process no longer has the list, its next hello requests it. */
  #onUnchanged(address: string, digest: number): readonly Effect[] {
    const received = this.#receivedLists.get(address);
    return received?.digest === digest
      ? received.members.flatMap((member) => this.#recordRelayed(member))
      : [];
  }

  #answerHello(address: string, { member, knownDigest }: HelloMessage): Effect {
    const { members, digest } = this.#listFor(member);
    return sendToPeer(
      address,
      digest === knownDigest
        ? { kind: PeerMessageKind.MembersUnchanged, digest }
        : {
            kind: PeerMessageKind.Members,
            members: members.filter(({ name }) => name !== member.name),
            digest,
          },
    );
  }

  #listFor(recipient: Member): MemberList {
    const key = `${recipient.role}/${recipient.groupName ?? ''}`;
    const built = this.#listsToSend.get(key);
    if (built !== undefined) {
      return built;
    }
    const direct = [...this.#known.values()]
      .filter(
        ({ member, lastReceivedAtMs }) =>
          lastReceivedAtMs !== undefined &&
          lastReceivedAtMs + EXPIRY_MS > this.options.runtime.nowMs() &&
          MembersService.#isRelevantTo(member, recipient),
      )
      .map(({ member }) => member);
    const list = buildMemberList([this.self(), ...direct]);
    this.#listsToSend.set(key, list);
    return list;
  }

  /** Gateways are relevant to all processes, agents only to agents of the same group. */
  static #isRelevantTo(member: Member, recipient: Member): boolean {
    return (
      member.role === PeerRole.Gateway ||
      (recipient.role === PeerRole.RankAgent && member.groupName === recipient.groupName)
    );
  }

  #recordDirect(member: Member): readonly Effect[] {
    const nowMs = this.options.runtime.nowMs();
    const known = this.#known.get(member.name);
    this.#known.set(member.name, {
      member,
      lastReceivedAtMs: nowMs,
      expiresAtMs: nowMs + EXPIRY_MS,
    });
    const isListed =
      known?.lastReceivedAtMs !== undefined &&
      known.member.groupName === member.groupName &&
      known.member.address === member.address;
    if (!isListed) {
      this.#listsToSend.clear();
    }
    return known === undefined ? [MembersService.#joinedLine(member)] : [];
  }

  #recordRelayed(member: Member): readonly Effect[] {
    const known = this.#known.get(member.name);
    if (member.name === this.options.self.name) {
      return [];
    }
    const nowMs = this.options.runtime.nowMs();
    this.#known.set(member.name, {
      member,
      lastReceivedAtMs: known?.lastReceivedAtMs,
      expiresAtMs: Math.max(known?.expiresAtMs ?? 0, nowMs + RELAYED_EXPIRY_MS),
    });
    return known === undefined ? [MembersService.#joinedLine(member)] : [];
  }

  #expire(): readonly Effect[] {
    const nowMs = this.options.runtime.nowMs();
    const expired = [...this.#known.values()].filter(({ expiresAtMs }) => expiresAtMs <= nowMs);
    // A member whose hellos only others still receive stays known, but is no longer relayed.
    const isSilent = [...this.#known.values()].some(
      ({ lastReceivedAtMs }) =>
        lastReceivedAtMs !== undefined && lastReceivedAtMs + EXPIRY_MS <= nowMs,
    );
    if (expired.length > 0 || isSilent) {
      this.#listsToSend.clear();
    }
    return expired.map(({ member }) => {
      this.#known.delete(member.name);
      return log(LogLevel.Warn, LogTopic.MemberLost, {
        memberName: member.name,
        detail: member.role,
      });
    });
  }

  static #joinedLine(member: Member): Effect {
    return log(LogLevel.Info, LogTopic.MemberJoined, {
      memberName: member.name,
      detail: member.role,
    });
  }
}

/**
 * Registers the service that tracks the other processes.
 *
 * @example
 * membersRegistration({ runtime, self, seeds: ['10.1.0.40:7340'] });
 */
export const membersRegistration = (
  options: MembersOptions,
): Registration<ServiceName.Members> => ({
  name: ServiceName.Members,
  requires: [],
  create: () => {
    const service = MembersService.create(options);
    return createInstance(
      { self: service.self, joinGroup: service.joinGroup, others: service.others },
      { start: () => service.start(), handle: (event) => service.handle(event) },
    );
  },
});
