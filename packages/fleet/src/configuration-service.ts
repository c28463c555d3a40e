/** @module Holds the accepted configuration; accepts only higher revisions, from any source. */
import { createHash, timingSafeEqual } from 'node:crypto';
import {
  EffectKind,
  EventKind,
  LogLevel,
  LogTopic,
  MessageKind,
  ServiceName,
  TimerKind,
  ZoneState,
  applyDelta,
  diffConfiguration,
  type Configuration,
  type ConfigurationDelta,
  type ConfigurationApi,
  type Effect,
  type Event,
  type LinkMessageEvent,
  type OrganisationConfiguration,
  type Registration,
  type Runtime,
  type SidecarAddress,
  type TargetConfiguration,
} from '@ebonysill/core';
import { createInstance } from '@ebonysill/kernel';
import { send, setTimer } from './effects.js';
import log from './log.js';

/** Delay before the configuration service is read again after a failure. */
const READ_RETRY_DELAY_MS = 1_000;

/** Minimum time between two requests for the same revision on one link. */
const REQUEST_INTERVAL_MS = 1_000;

/** Number of configurations kept, from which changes can be computed for peers that hold one. */
const HISTORY_LENGTH = 16;

const TIMER_KEY = 'watch';

/** Options of the configuration service. */
export interface ConfigurationOptions {
  readonly runtime: Runtime;
  /** Whether this process reads the configuration service itself, besides learning from peers. */
  readonly isReader: boolean;
}

/** The last revision requested on a link. */
interface RequestedRevision {
  readonly revision: number;
  readonly requestedAtMs: number;
}

const digestOf = (credential: string): Buffer => createHash('sha256').update(credential).digest();

/** Holds the configuration with the highest revision so far. */
class ConfigurationService {
  #current: Configuration | undefined;

  /** The last `HISTORY_LENGTH` configurations, including the current one, oldest first. */
  #history: readonly Configuration[] = [];

  /** Changes that lead to the current revision, by base revision. */
  readonly #deltas = new Map<number, ConfigurationDelta>();

  #targetsById: ReadonlyMap<string, TargetConfiguration> = new Map();

  #organisationsByDigest: ReadonlyMap<string, OrganisationConfiguration> = new Map();

  /** By link id. */
  readonly #requests = new Map<string, RequestedRevision>();

  private constructor(private readonly options: ConfigurationOptions) {}

  static create(options: ConfigurationOptions): ConfigurationService {
    return new ConfigurationService(options);
  }

  readonly api: ConfigurationApi = {
    revision: () => this.#revision(),
    current: () => this.#current,
    service: (name) => this.#current?.services.find((service) => service.name === name),
    target: (targetId) => this.#targetsById.get(targetId),
    address: (processId) => this.#address(processId),
    groupOf: (rankId) =>
      this.#current?.groups.find(({ ranks }) => ranks.some((rank) => rank.rankId === rankId)),
    targets: (service) =>
      (this.#current?.targets ?? []).filter((target) => target.service === service),
    organisation: (credential) => this.#organisation(credential),
    isInService: (availabilityZone) => this.#isInService(availabilityZone),
  };

  start(): readonly Effect[] {
    return this.options.isReader ? [this.#read()] : [];
  }

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.ConfigurationRead:
        return [...this.#accept(event.configuration), this.#read()];
      case EventKind.ConfigurationUnavailable:
        return [
          log(LogLevel.Warn, LogTopic.ConfigurationUnavailable, { detail: event.detail }),
          setTimer(TimerKind.ConfigurationRead, TIMER_KEY, READ_RETRY_DELAY_MS),
        ];
      case EventKind.Timer:
        return event.timer === TimerKind.ConfigurationRead ? [this.#read()] : [];
      case EventKind.LinkMessage:
        return this.#onMessage(event);
      case EventKind.LinkClosed:
        this.#requests.delete(event.linkId);
        return [];
      default:
        return [];
    }
  }

  #onMessage({ linkId, message }: LinkMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case MessageKind.Hello:
      case MessageKind.Heartbeat:
      case MessageKind.HeartbeatAck:
        return this.#requestIfHigher(linkId, message.revision);
      case MessageKind.ConfigurationRequest:
        return this.#answerRequest(linkId, message.heldRevision);
      case MessageKind.ConfigurationValue:
        return this.#accept(message.configuration);
      case MessageKind.ConfigurationChange:
        return this.#applyChange(message.delta);
      default:
        return [];
    }
  }

  /** Sends the changes since the revision that the peer holds, or else the complete value. */
  #answerRequest(linkId: string, heldRevision: number): readonly Effect[] {
    if (this.#current === undefined) {
      return [];
    }
    const held = this.#history.find(({ revision }) => revision === heldRevision);
    if (held === undefined) {
      const configuration = this.#current;
      return [send(linkId, { kind: MessageKind.ConfigurationValue, configuration })];
    }
    const delta = this.#deltaFrom(held);
    return [send(linkId, { kind: MessageKind.ConfigurationChange, delta })];
  }

  /** Changes since a revision, cached because many peers request the same ones. */
  #deltaFrom(held: Configuration): ConfigurationDelta {
    const cached = this.#deltas.get(held.revision);
    const delta = cached ?? diffConfiguration(held, this.#current ?? held);
    this.#deltas.set(held.revision, delta);
    return delta;
  }

  #applyChange(delta: ConfigurationDelta): readonly Effect[] {
    return this.#current?.revision === delta.baseRevision
      ? this.#accept(applyDelta(this.#current, delta))
      : [];
  }

  /** Requests the configuration from a peer that announced a higher revision. */
  #requestIfHigher(linkId: string, peerRevision: number): readonly Effect[] {
    if (peerRevision <= this.#revision()) {
      return [];
    }
    const nowMs = this.options.runtime.nowMs();
    const last = this.#requests.get(linkId);
    const isRequested =
      last?.revision === peerRevision && nowMs - last.requestedAtMs < REQUEST_INTERVAL_MS;
    if (isRequested) {
      return [];
    }
    this.#requests.set(linkId, { revision: peerRevision, requestedAtMs: nowMs });
    const heldRevision = this.#revision();
    return [send(linkId, { kind: MessageKind.ConfigurationRequest, heldRevision })];
  }

  #accept(configuration: Configuration): readonly Effect[] {
    if (configuration.revision <= this.#revision()) {
      return [];
    }
    this.#history = [...this.#history, configuration].slice(-HISTORY_LENGTH);
    this.#deltas.clear();
    this.#current = configuration;
    this.#targetsById = new Map(configuration.targets.map((target) => [target.targetId, target]));
    this.#organisationsByDigest = new Map(
      configuration.organisations.map((organisation) => [
        organisation.credentialSha256,
        organisation,
      ]),
    );
    return [
      log(LogLevel.Info, LogTopic.ConfigurationAccepted, { revision: configuration.revision }),
    ];
  }

  #organisation(credential: string): OrganisationConfiguration | undefined {
    const digest = digestOf(credential);
    const found = this.#organisationsByDigest.get(digest.toString('hex'));
    if (found === undefined) {
      return undefined;
    }
    return timingSafeEqual(digest, Buffer.from(found.credentialSha256, 'hex')) ? found : undefined;
  }

  #address(processId: string): SidecarAddress | undefined {
    const sidecar =
      this.#targetsById.get(processId) ??
      this.#current?.groups
        .flatMap(({ ranks }) => ranks)
        .find(({ rankId }) => rankId === processId);
    return sidecar === undefined
      ? undefined
      : { host: sidecar.sidecarHost, port: sidecar.sidecarPort };
  }

  #isInService(availabilityZone: string): boolean {
    return (this.#current?.availabilityZones ?? []).some(
      (zone) => zone.name === availabilityZone && zone.state === ZoneState.InService,
    );
  }

  #revision(): number {
    return this.#current?.revision ?? 0;
  }

  #read(): Effect {
    return { kind: EffectKind.ReadConfiguration, aboveRevision: this.#revision() };
  }
}

/**
 * Registers the configuration service.
 *
 * @example
 * configurationRegistration({ runtime, isReader: true });
 */
export const configurationRegistration = (
  options: ConfigurationOptions,
): Registration<ServiceName.Configuration> => ({
  name: ServiceName.Configuration,
  requires: [],
  create: () => {
    const service = ConfigurationService.create(options);
    return createInstance(service.api, {
      start: () => service.start(),
      handle: (event) => service.handle(event),
    });
  },
});
