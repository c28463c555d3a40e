/**
 * @module Asks the other gateways for what a process that starts can learn from them only.
 *
 * Until a gateway has answered that is not itself starting, or a bound has passed, the configuration
 * counts as unknown: the store may have been restored from a copy that is older than the one in
 * force, unless it says that it never was. Afterwards it counts as too old for as long as a live peer names a later one.
 */
import { createInstance } from '@ebonysill/kernel';
import { log, sendToPeer, setTimer } from './build-effects.js';
import { datagramCountOf, partOf } from './datagram-parts.js';
import {
  ServiceName,
  type CatalogueApi,
  type ColdStartsApi,
  type FindService,
  type MembersApi,
  type Registration,
  type RetryBudgetApi,
  type StoreApi,
} from './directory.js';
import { LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, type Event, type PeerMessageEvent } from './event.js';
import {
  PeerMessageKind,
  PeerRole,
  type QueryStartStateMessage,
  type StartStateMessage,
} from './peer-message.js';
import type { Runtime } from './runtime.js';
import TimerKind from './TimerKind.js';
import type { ConfigurationMark, DecideFloor, Floor } from './version-floor.js';

/** Interval of questions to gateways that have not answered, since messages may be lost. */
const QUERY_INTERVAL_MS = 200;

/** Time after the first answer of the store for which a gateway waits for its peers. */
const ANSWER_BOUND_MS = 1_000;

/**
 * Era of a store that was never restored. Its configuration is the one in force, so that no peer can
 * know a later one.
 */
const FIRST_ERA = 1;

/**
 * The same when every gateway that is known has answered that it is starting itself, as after a loss
 * of power. One that goes on running sends its hellos within half a second.
 */
const ALL_STARTING_BOUND_MS = 600;

/**
 * Time after the first answer of a peer for which those of the others are awaited: the first peer
 * may itself lack what another one knows.
 */
const SETTLE_MS = 100;

/** Time in which gateways that become known are asked. */
const DISCOVERY_MS = 5_000;

const TIMER_KEY = 0;

const QUERY: QueryStartStateMessage = { kind: PeerMessageKind.QueryStartState };

/** Options of the service; it uses the clock of `runtime`. */
export interface PeerKnowledgeOptions {
  readonly runtime: Runtime;
  /** Addresses that are asked first; the processes there may be down. */
  readonly seeds: readonly string[];
  readonly decideFloor: DecideFloor;
}

/** A gateway that was asked. */
interface AskedPeer {
  readonly unansweredCount: number;
  /** Its last answer; undefined before the first. */
  readonly answer?: ConfigurationMark & { readonly isStarting: boolean };
}

const isEstablished = ({ answer }: AskedPeer): boolean => answer?.isStarting === false;

class PeerKnowledgeService {
  /** By address. */
  readonly #peers = new Map<string, AskedPeer>();

  #firstReadAtMs = Infinity;

  #firstAnswerAtMs = Infinity;

  #hasSettled = false;

  #askUntilMs: number;

  /** Whether the next round of questions is scheduled. */
  #isAsking = false;

  #era: number | undefined;

  #floor: Floor = { version: 0, aheadAddresses: [] };

  readonly #store: StoreApi;

  readonly #catalogue: CatalogueApi;

  readonly #members: MembersApi;

  readonly #retryBudget: RetryBudgetApi;

  readonly #coldStarts: ColdStartsApi;

  private constructor(
    private readonly options: PeerKnowledgeOptions,
    find: FindService,
  ) {
    this.#store = find(ServiceName.Store);
    this.#catalogue = find(ServiceName.Catalogue);
    this.#members = find(ServiceName.Members);
    this.#retryBudget = find(ServiceName.RetryBudget);
    this.#coldStarts = find(ServiceName.ColdStarts);
    this.#askUntilMs = this.#nowMs() + DISCOVERY_MS;
  }

  static create(options: PeerKnowledgeOptions, find: FindService): PeerKnowledgeService {
    return new PeerKnowledgeService(options, find);
  }

  readonly isConfigurationCurrent = (): boolean =>
    this.#isSettled() && this.#floor.aheadAddresses.length === 0;

  start(): readonly Effect[] {
    return this.#askDue();
  }

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.StoreRead:
        return this.#onStoreAnswer(event.era);
      case EventKind.StoreFailed:
        return this.#store.wasRestored() ? this.#askAnew(event.era) : [];
      case EventKind.TimerFired:
        return event.timer === TimerKind.PeerQuery ? this.#onTimer() : [];
      case EventKind.PeerMessageReceived:
        return this.#onMessage(event);
      default:
        return [];
    }
  }

  #onStoreAnswer(era: number | undefined): readonly Effect[] {
    if (this.#store.wasRestored()) {
      return this.#askAnew(era);
    }
    this.#era = era ?? this.#era;
    this.#firstReadAtMs = Math.min(this.#firstReadAtMs, this.#nowMs());
    return this.#updateFloor();
  }

  /** Asks all peers again: this process may have missed a configuration that the store has lost. */
  #askAnew(era: number | undefined): readonly Effect[] {
    this.#era = era ?? this.#era;
    this.#peers.clear();
    this.#askUntilMs = this.#nowMs() + DISCOVERY_MS;
    return this.#isAsking ? [] : this.#askDue();
  }

  #onTimer(): readonly Effect[] {
    this.#isAsking = false;
    return [...this.#settle(), ...this.#askDue(), ...this.#updateFloor()];
  }

  #onMessage({ address, message }: PeerMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case PeerMessageKind.QueryStartState:
        return this.#buildAnswers().map((answer) => sendToPeer(address, answer));
      case PeerMessageKind.StartState:
        return this.#onAnswer(address, message);
      case PeerMessageKind.Hello:
      case PeerMessageKind.Members:
        return this.#isAsking ? this.#ask(this.#unaskedAddresses()) : [];
      default:
        return [];
    }
  }

  /** Answers nobody asked for are ignored, so that none of them stops a gateway that serves. */
  #onAnswer(address: string, answer: StartStateMessage): readonly Effect[] {
    if (!this.#isAsking) {
      return [];
    }
    const { isStarting, version, era } = answer;
    this.#peers.set(address, {
      unansweredCount: 0,
      answer: { isStarting, version, ...(era === undefined ? {} : { era }) },
    });
    if (!isStarting) {
      this.#firstAnswerAtMs = Math.min(this.#firstAnswerAtMs, this.#nowMs());
    }
    return [...this.#settle(), ...this.#updateFloor()];
  }

  /** Whether the peers have answered, or were waited for long enough. */
  #isSettled(): boolean {
    const nowMs = this.#nowMs();
    return (
      this.#hasSettled ||
      (this.#firstReadAtMs <= nowMs && this.#era === FIRST_ERA) ||
      nowMs - this.#firstReadAtMs >= this.#answerBoundMs() ||
      nowMs - this.#firstAnswerAtMs >= SETTLE_MS ||
      (this.#firstAnswerAtMs <= nowMs && [...this.#peers.values()].every(isEstablished))
    );
  }

  #answerBoundMs(): number {
    const peers = [...this.#peers.values()];
    const areAllStarting =
      peers.length > 0 && peers.every(({ answer }) => answer?.isStarting === true);
    return areAllStarting ? ALL_STARTING_BOUND_MS : ANSWER_BOUND_MS;
  }

  #settle(): readonly Effect[] {
    if (this.#hasSettled || !this.#isSettled()) {
      return [];
    }
    this.#hasSettled = true;
    const count = [...this.#peers.values()].filter(isEstablished).length;
    const detail = count === 0 ? 'no gateway answered that is not itself starting' : 'answered';
    return [log(LogLevel.Info, LogTopic.PeersAsked, { count, detail })];
  }

  /** Asks the peers from which an answer is missing, and those whose answer has to be renewed. */
  #askDue(): readonly Effect[] {
    const isAhead = this.#floor.aheadAddresses.length > 0;
    const mayDiscover = this.#nowMs() < this.#askUntilMs;
    if (this.#hasSettled && !isAhead && !mayDiscover) {
      return [];
    }
    this.#isAsking = true;
    const due = [...this.#peers].flatMap(([address, peer]) =>
      this.#isDue(address, peer) ? [address] : [],
    );
    return [
      setTimer(TimerKind.PeerQuery, TIMER_KEY, QUERY_INTERVAL_MS),
      ...this.#ask([...due, ...this.#unaskedAddresses()]),
    ];
  }

  #isDue(address: string, { answer }: AskedPeer): boolean {
    return (
      answer === undefined ||
      (answer.isStarting && !this.#hasSettled) ||
      this.#floor.aheadAddresses.includes(address)
    );
  }

  #unaskedAddresses(): readonly string[] {
    const known = this.#members.others(PeerRole.Gateway).map(({ address }) => address);
    const ownAddress = this.#members.self().address;
    return [...new Set([...this.options.seeds, ...known])].filter(
      (address) => address !== ownAddress && !this.#peers.has(address),
    );
  }

  #ask(addresses: readonly string[]): readonly Effect[] {
    return addresses.map((address) => {
      const peer = this.#peers.get(address) ?? { unansweredCount: 0 };
      this.#peers.set(address, { ...peer, unansweredCount: peer.unansweredCount + 1 });
      return sendToPeer(address, QUERY);
    });
  }

  #updateFloor(): readonly Effect[] {
    if (this.#catalogue.version() === 0) {
      return [];
    }
    const before = this.#floor;
    const named = [...this.#peers].flatMap(([address, { answer, unansweredCount }]) =>
      answer === undefined ? [] : [{ ...answer, address, unansweredCount }],
    );
    this.#floor = this.options.decideFloor({ own: this.#ownMark(), named });
    const { version, aheadAddresses } = this.#floor;
    const detail = aheadAddresses.join(',');
    if (detail === before.aheadAddresses.join(',') && version === before.version) {
      return [];
    }
    if (aheadAddresses.length > 0) {
      return [log(LogLevel.Warn, LogTopic.ConfigurationBehind, { version, detail })];
    }
    return before.aheadAddresses.length === 0
      ? []
      : [log(LogLevel.Info, LogTopic.ConfigurationLevel, { version: this.#catalogue.version() })];
  }

  #ownMark(): ConfigurationMark {
    const version = this.#catalogue.version();
    return { version, ...(this.#era === undefined ? {} : { era: this.#era }) };
  }

  /** Returns one message, or several when the counts do not fit. */
  #buildAnswers(): readonly StartStateMessage[] {
    const spentRetries = this.#retryBudget.spentByService();
    const coldStarts = this.#coldStarts.recentStarts();
    const count = Math.max(1, datagramCountOf([spentRetries.length, coldStarts.length]));
    return Array.from({ length: count }, (_, index) => ({
      kind: PeerMessageKind.StartState,
      isStarting: !this.#isSettled(),
      ...this.#ownMark(),
      spentRetries: partOf(spentRetries, index),
      coldStarts: partOf(coldStarts, index),
    }));
  }

  #nowMs(): number {
    return this.options.runtime.nowMs();
  }
}

/**
 * Registers the service that asks the other gateways after the start.
 *
 * @example
 * peerKnowledgeRegistration({ runtime, seeds, decideFloor: floorOfLivePeers });
 */
export const peerKnowledgeRegistration = (
  options: PeerKnowledgeOptions,
): Registration<ServiceName.PeerKnowledge> => ({
  name: ServiceName.PeerKnowledge,
  requires: [
    ServiceName.Store,
    ServiceName.Catalogue,
    ServiceName.Members,
    ServiceName.RetryBudget,
    ServiceName.ColdStarts,
  ],
  create: (find) => {
    const service = PeerKnowledgeService.create(options, find);
    return createInstance(
      { isConfigurationCurrent: service.isConfigurationCurrent },
      { start: () => service.start(), handle: (event) => service.handle(event) },
    );
  },
});
