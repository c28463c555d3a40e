/** @module Opens, checks and replaces links to other processes, and announces new revisions. */
import {
  EffectKind,
  EventKind,
  LogLevel,
  LogTopic,
  MessageKind,
  ServiceName,
  TimerKind,
  type ConfigurationApi,
  type CrashSuspicion,
  type Effect,
  type Event,
  type HeartbeatAckMessage,
  type HeartbeatMessage,
  type LinkMessageEvent,
  type LinksApi,
  type LoadReport,
  type Message,
  type ProcessRole,
  type Registration,
  type Runtime,
  type SidecarAddress,
  type SuspectsApi,
} from '@ebonysill/core';
import { createInstance } from '@ebonysill/kernel';
import { clearTimer, send, setTimer } from './effects.js';
import LinkTable from './LinkTable.js';
import type { Link } from './link.js';
import {
  REOPEN_BASE_DELAY_MS,
  REOPEN_MAX_DELAY_MS,
  ANNOUNCEMENT_PEERS_PER_ROUND,
  ANNOUNCEMENT_INTERVAL_MS,
  ANNOUNCEMENT_ROUNDS,
} from './link-timing.js';
import log from './log.js';
import sample from './sample.js';

/** Address of a sidecar that can be reached before a configuration is available. */
export interface SeedSidecar {
  readonly targetId: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
}

/** Options of the links service. */
export interface LinksOptions {
  readonly runtime: Runtime;
  readonly processId: string;
  readonly incarnation: string;
  readonly role: ProcessRole;
  readonly availabilityZone: string;
  readonly seeds: readonly SeedSidecar[];
}

const ANNOUNCEMENT_KEY = 'spread';

const noLoad = (): undefined => undefined;

const loadIn = (message: Message): LoadReport | undefined => {
  switch (message.kind) {
    case MessageKind.Heartbeat:
    case MessageKind.HeartbeatAck:
    case MessageKind.RunEnd:
    case MessageKind.RunFailed:
      return message.load;
    default:
      return undefined;
  }
};

/** Maintains the links of one process. */
class LinksService {
  readonly #table = LinkTable.create();

  /** Attempts since the last completed handshake, by process id of the sidecar. */
  readonly #reopenAttempts = new Map<string, number>();

  /** Process ids of the sidecars whose link is due to be reopened. */
  readonly #reopening = new Set<string>();

  #dialledCount = 0;

  #announcedRevision = 0;

  #announcementRoundsLeft = 0;

  #readLoad: () => LoadReport | undefined = noLoad;

  private constructor(
    private readonly options: LinksOptions,
    private readonly configuration: ConfigurationApi,
    private readonly suspects: SuspectsApi,
  ) {}

  static create(
    options: LinksOptions,
    configuration: ConfigurationApi,
    suspects: SuspectsApi,
  ): LinksService {
    return new LinksService(options, configuration, suspects);
  }

  readonly api: LinksApi = {
    peer: (processId) => this.#table.peer(processId),
    peerOfLink: (linkId) => this.#table.peerOfLink(linkId),
    peers: () => this.#table.peers(),
    isSuspect: (linkId) => this.#table.get(linkId)?.isSuspect(this.#nowMs()) ?? true,
    ensure: (processId) => this.#ensure(processId),
    retain: (linkId) => this.#retain(linkId),
    release: (linkId) => this.#release(linkId),
    setLoadReader: (readLoad) => {
      this.#readLoad = readLoad;
    },
  };

  start(): readonly Effect[] {
    return this.options.seeds.flatMap((seed) => this.#ensure(seed.targetId));
  }

  handle(event: Event): readonly Effect[] {
    return [...this.#onEvent(event), ...this.#announceNewRevision()];
  }

  #onEvent(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.LinkOpened:
        return this.#onOpened(event.linkId, event.isInbound);
      case EventKind.LinkMessage:
        return this.#onMessage(event);
      case EventKind.LinkClosed:
        return this.#onClosed(event.linkId);
      case EventKind.Timer:
        if (event.timer === TimerKind.LinkCheck) {
          return this.#check(event.key);
        }
        if (event.timer === TimerKind.RevisionAnnouncement) {
          return this.#announceToSample();
        }
        if (event.timer === TimerKind.LinkReopen) {
          this.#reopening.delete(event.key);
          return this.#ensure(event.key);
        }
        return [];
      default:
        return [];
    }
  }

  /** Starts to announce a new revision; peers that lack the configuration then request it. */
  #announceNewRevision(): readonly Effect[] {
    const revision = this.configuration.revision();
    if (revision === this.#announcedRevision) {
      return [];
    }
    this.#announcedRevision = revision;
    this.#announcementRoundsLeft = ANNOUNCEMENT_ROUNDS;
    return this.#announceToSample();
  }

  /** One round: announces the revision to some of the peers not known to hold it. */
  #announceToSample(): readonly Effect[] {
    const revision = this.configuration.revision();
    const chosen = sample(
      this.#table.linksBelow(revision),
      ANNOUNCEMENT_PEERS_PER_ROUND,
      this.options.runtime.random,
    );
    this.#announcementRoundsLeft -= 1;
    chosen.forEach((link) => link.recordRevision(revision));
    return [
      ...chosen.map(({ linkId }) => send(linkId, this.#buildHeartbeat(MessageKind.Heartbeat))),
      ...(this.#announcementRoundsLeft > 0
        ? [setTimer(TimerKind.RevisionAnnouncement, ANNOUNCEMENT_KEY, ANNOUNCEMENT_INTERVAL_MS)]
        : []),
    ];
  }

  #ensure(processId: string): readonly Effect[] {
    if (this.#reopening.has(processId) || this.#table.isDialled(processId)) {
      return [];
    }
    const address = this.#addressOf(processId);
    if (address === undefined) {
      return [];
    }
    this.#dialledCount += 1;
    const linkId = `${this.options.processId}>${processId}#${this.#dialledCount}`;
    const link = this.#table.add(linkId, processId, this.#nowMs());
    const { host, port } = address;
    return [{ kind: EffectKind.OpenLink, linkId, host, port }, this.#scheduleCheck(link)];
  }

  #addressOf(processId: string): SidecarAddress | undefined {
    return (
      this.configuration.address(processId) ??
      this.options.seeds.find((candidate) => candidate.targetId === processId)
    );
  }

  #onOpened(linkId: string, isInbound: boolean): readonly Effect[] {
    const link = isInbound
      ? this.#table.add(linkId, undefined, this.#nowMs())
      : this.#table.get(linkId);
    if (link === undefined) {
      return [{ kind: EffectKind.CloseLink, linkId }];
    }
    link.markOpened();
    const { processId, incarnation, role, availabilityZone } = this.options;
    return [
      send(linkId, {
        kind: MessageKind.Hello,
        processId,
        incarnation,
        role,
        availabilityZone,
        revision: this.configuration.revision(),
      }),
      this.#scheduleCheck(link),
    ];
  }

  #onMessage({ linkId, message }: LinkMessageEvent): readonly Effect[] {
    const link = this.#table.get(linkId);
    if (link === undefined) {
      return [];
    }
    link.recordReceived(this.#nowMs(), loadIn(message));
    link.recordRevision('revision' in message ? message.revision : 0);
    switch (message.kind) {
      case MessageKind.Hello:
        return this.#onHello(link, message);
      case MessageKind.Heartbeat:
        return [send(linkId, this.#buildHeartbeat(MessageKind.HeartbeatAck))];
      default:
        return [];
    }
  }

  #onHello(link: Link, hello: Message & { kind: MessageKind.Hello }): readonly Effect[] {
    if (link.dialledId !== undefined && link.dialledId !== hello.processId) {
      return [{ kind: EffectKind.CloseLink, linkId: link.linkId }];
    }
    this.#table.markUp(link, hello);
    this.#reopenAttempts.delete(hello.processId);
    return [
      log(LogLevel.Info, LogTopic.LinkUp, { linkId: link.linkId, peerId: hello.processId }),
      ...(link.dialledId === undefined
        ? []
        : [send(link.linkId, this.#buildHeartbeat(MessageKind.Heartbeat))]),
    ];
  }

  #buildHeartbeat(
    kind: MessageKind.Heartbeat | MessageKind.HeartbeatAck,
  ): HeartbeatMessage | HeartbeatAckMessage {
    const load = this.#readLoad();
    const suspicions: readonly CrashSuspicion[] = load === undefined ? [] : this.suspects.all();
    return {
      kind,
      revision: this.configuration.revision(),
      ...(load === undefined ? {} : { load }),
      ...(suspicions.length === 0 ? {} : { suspicions }),
    };
  }

  #onClosed(linkId: string): readonly Effect[] {
    const link = this.#table.get(linkId);
    if (link === undefined) {
      return [];
    }
    this.#table.remove(link);
    const lost = [
      clearTimer(TimerKind.LinkCheck, linkId),
      log(LogLevel.Info, LogTopic.LinkLost, { linkId }),
    ];
    return link.dialledId === undefined ? lost : [...lost, this.#scheduleReopen(link.dialledId)];
  }

  #scheduleReopen(processId: string): Effect {
    const attemptCount = this.#reopenAttempts.get(processId) ?? 0;
    this.#reopenAttempts.set(processId, attemptCount + 1);
    this.#reopening.add(processId);
    const maxDelayMs = Math.min(REOPEN_BASE_DELAY_MS * 2 ** attemptCount, REOPEN_MAX_DELAY_MS);
    const delayMs = maxDelayMs * (0.5 + this.options.runtime.random() / 2);
    return setTimer(TimerKind.LinkReopen, processId, delayMs);
  }

  #check(linkId: string): readonly Effect[] {
    const link = this.#table.get(linkId);
    if (link === undefined) {
      return [];
    }
    const nowMs = this.#nowMs();
    if (link.isSilent(nowMs)) {
      return [{ kind: EffectKind.CloseLink, linkId }];
    }
    return [
      ...(link.beginHeartbeatIfDue(nowMs)
        ? [send(linkId, this.#buildHeartbeat(MessageKind.Heartbeat))]
        : []),
      this.#scheduleCheck(link),
    ];
  }

  #scheduleCheck(link: Link): Effect {
    return setTimer(
      TimerKind.LinkCheck,
      link.linkId,
      link.planCheck(this.#nowMs(), this.#table.size),
    );
  }

  #retain(linkId: string): readonly Effect[] {
    const link = this.#table.get(linkId);
    return link?.retain(this.#nowMs()) === true ? [this.#scheduleCheck(link)] : [];
  }

  #release(linkId: string): void {
    this.#table.get(linkId)?.release();
  }

  #nowMs(): number {
    return this.options.runtime.nowMs();
  }
}

/**
 * Registers the links service.
 *
 * @example
 * linksRegistration({ runtime, processId, incarnation, role, availabilityZone, seeds });
 */
export const linksRegistration = (options: LinksOptions): Registration<ServiceName.Links> => ({
  name: ServiceName.Links,
  requires: [ServiceName.Configuration, ServiceName.Suspects],
  create: (find) => {
    const service = LinksService.create(
      options,
      find(ServiceName.Configuration),
      find(ServiceName.Suspects),
    );
    return createInstance(service.api, {
      start: () => service.start(),
      handle: (event) => service.handle(event),
    });
  },
});
