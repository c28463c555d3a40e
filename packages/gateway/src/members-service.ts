/**
 * @module Other processes of the system, found by seeds and kept by heartbeats.
 *
 * Each process greets a few contacts; a contact answers with the members that it has heard from
 * itself, so that nobody who has gone is passed on for longer than the expiry. A list that the
 * greeting process has already is confirmed by its digest only.
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

/** Time between two rounds of heartbeats; 3 contacts at 2 a second stay below 2 KB/s. */
const HEARTBEAT_INTERVAL_MS = 500;

/** Five missed heartbeats; a lost datagram or a short pause of the process is no loss. */
const EXPIRY_MS = 2_500;

/** Members that a process was only told of are dropped sooner than their teller would drop them. */
const HEARSAY_EXPIRY_MS = 2_000;

/** Contacts greeted in each round: as many as there are seeds at most. */
const CONTACT_COUNT = 3;

const TIMER_KEY = 0;

/** What the service is created from. */
export interface MembersOptions {
  readonly runtime: Runtime;
  readonly self: Member;
  /** Addresses of processes to greet first; they may be down. */
  readonly seeds: readonly string[];
}

interface KnownMember {
  readonly member: Member;
  /** When it was last heard itself, or undefined when others told of it. */
  readonly heardAtMs: number | undefined;
  readonly expiresAtMs: number;
}

/** Keeps the list of members. */
class MembersService {
  readonly #known = new Map<string, KnownMember>();

  /** Lists that contacts told last, by their address. */
  readonly #told = new Map<string, MemberList>();

  /** Lists for processes that ask, by their role and group; built anew when a member joins or goes. */
  readonly #lists = new Map<string, MemberList>();

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
      this.#lists.clear();
    }
  };

  readonly others = (role: PeerRole): readonly Member[] => {
    const nowMs = this.options.runtime.nowMs();
    return [...this.#known.values()]
      .filter(({ member, expiresAtMs }) => member.role === role && expiresAtMs > nowMs)
      .map(({ member }) => member);
  };

  start(): readonly Effect[] {
    return this.#greet();
  }

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.TimerFired:
        return event.timer === TimerKind.Membership ? [...this.#expire(), ...this.#greet()] : [];
      case EventKind.SeedsChanged:
        this.#seeds = event.seeds;
        return [log(LogLevel.Info, LogTopic.SettingsChanged, { count: event.seeds.length })];
      case EventKind.PeerMessageReceived:
        return this.#onMessage(event);
      default:
        return [];
    }
  }

  #greet(): readonly Effect[] {
    const contacts = this.#contacts();
    [...this.#told.keys()]
      .filter((address) => !contacts.includes(address))
      .forEach((address) => this.#told.delete(address));
    return [
      setTimer(TimerKind.Membership, TIMER_KEY, HEARTBEAT_INTERVAL_MS),
      ...contacts.map((address) => sendToPeer(address, this.#helloTo(address))),
    ];
  }

  #helloTo(address: string): HelloMessage {
    const told = this.#told.get(address);
    return {
      kind: PeerMessageKind.Hello,
      member: this.self(),
      ...(told === undefined ? {} : { knownDigest: told.digest }),
    };
  }

  /** Seeds first; known gateways, in an order drawn at random, when there are too few. */
  #contacts(): readonly string[] {
    const { self, runtime } = this.options;
    const seeds = this.#seeds;
    const known = this.others(PeerRole.Gateway).map(({ address }) => address);
    const live = seeds.filter((seed) => known.includes(seed));
    const others = known
      .filter((address) => !seeds.includes(address))
      .map((address) => ({ address, rank: runtime.random() }))
      .sort((left, right) => left.rank - right.rank)
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
        return [...this.#hear(message.member), this.#answer(address, message)];
      case PeerMessageKind.Members:
        this.#told.set(address, message);
        return message.members.flatMap((member) => this.#hearOf(member));
      case PeerMessageKind.MembersUnchanged:
        return this.#onUnchanged(address, message.digest);
      default:
        return [];
    }
  }

  /** A list that this process no longer has is asked for with the next greeting. */
  #onUnchanged(address: string, digest: number): readonly Effect[] {
    const told = this.#told.get(address);
    return told?.digest === digest ? told.members.flatMap((member) => this.#hearOf(member)) : [];
  }

  #answer(address: string, { member, knownDigest }: HelloMessage): Effect {
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

  #listFor(asking: Member): MemberList {
    const key = `${asking.role}/${asking.groupName ?? ''}`;
    const built = this.#lists.get(key);
    if (built !== undefined) {
      return built;
    }
    const heard = [...this.#known.values()]
      .filter(
        ({ member, heardAtMs }) =>
          heardAtMs !== undefined &&
          heardAtMs + EXPIRY_MS > this.options.runtime.nowMs() &&
          MembersService.#concerns(member, asking),
      )
      .map(({ member }) => member);
    const list = buildMemberList([this.self(), ...heard]);
    this.#lists.set(key, list);
    return list;
  }

  /** Gateways concern everybody; agents only those of the same group. */
  static #concerns(member: Member, asking: Member): boolean {
    return (
      member.role === PeerRole.Gateway ||
      (asking.role === PeerRole.RankAgent && member.groupName === asking.groupName)
    );
  }

  #hear(member: Member): readonly Effect[] {
    const nowMs = this.options.runtime.nowMs();
    const known = this.#known.get(member.name);
    this.#known.set(member.name, { member, heardAtMs: nowMs, expiresAtMs: nowMs + EXPIRY_MS });
    const isListed =
      known?.heardAtMs !== undefined &&
      known.member.groupName === member.groupName &&
      known.member.address === member.address;
    if (!isListed) {
      this.#lists.clear();
    }
    return known === undefined ? [MembersService.#joined(member)] : [];
  }

  #hearOf(member: Member): readonly Effect[] {
    const known = this.#known.get(member.name);
    if (member.name === this.options.self.name) {
      return [];
    }
    const nowMs = this.options.runtime.nowMs();
    this.#known.set(member.name, {
      member,
      heardAtMs: known?.heardAtMs,
      expiresAtMs: Math.max(known?.expiresAtMs ?? 0, nowMs + HEARSAY_EXPIRY_MS),
    });
    return known === undefined ? [MembersService.#joined(member)] : [];
  }

  #expire(): readonly Effect[] {
    const nowMs = this.options.runtime.nowMs();
    const expired = [...this.#known.values()].filter(({ expiresAtMs }) => expiresAtMs <= nowMs);
    // A member that others still hear stays known, but is no longer passed on.
    const isSilent = [...this.#known.values()].some(
      ({ heardAtMs }) => heardAtMs !== undefined && heardAtMs + EXPIRY_MS <= nowMs,
    );
    if (expired.length > 0 || isSilent) {
      this.#lists.clear();
    }
    return expired.map(({ member }) => {
      this.#known.delete(member.name);
      return log(LogLevel.Warn, LogTopic.MemberLost, {
        memberName: member.name,
        detail: member.role,
      });
    });
  }

  static #joined(member: Member): Effect {
    return log(LogLevel.Info, LogTopic.MemberJoined, {
      memberName: member.name,
      detail: member.role,
    });
  }
}

/**
 * Registers the service that knows the other processes.
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
