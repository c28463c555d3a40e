/** @module Which targets execute each forward pass together, as the drivers of groups report. */
import { createInstance } from '@ebonysill/kernel';
import { ServiceName, type Registration } from './directory.js';
import { EventKind, type Event } from './event.js';
import { PeerMessageKind, type GroupTargetsMessage } from './peer-message.js';
import type { PublishedTarget } from './published.js';
import type { Runtime } from './runtime.js';

/** Ten missed messages of the driver of a group, which sends one every 2 s. */
const EXPIRY_MS = 20_000;

interface KnownGroup {
  readonly groupName: string;
  readonly expiresAtMs: number;
}

/** Options of the service; it uses the clock of `runtime`. */
export interface GroupsOptions {
  readonly runtime: Runtime;
}

class GroupsService {
  /** By published address. */
  readonly #groups = new Map<string, KnownGroup>();

  private constructor(private readonly runtime: Runtime) {}

  static create(runtime: Runtime): GroupsService {
    return new GroupsService(runtime);
  }

  readonly poolOf = ({ service, address }: PublishedTarget): string => {
    const known = this.#groups.get(address);
    return known !== undefined && known.expiresAtMs > this.runtime.nowMs()
      ? `${service}/${known.groupName}`
      : service;
  };

  handle(event: Event): void {
    if (
      event.kind === EventKind.PeerMessageReceived &&
      event.message.kind === PeerMessageKind.GroupTargets
    ) {
      this.#recordGroup(event.message);
    }
  }

  #recordGroup({ groupName, addresses }: GroupTargetsMessage): void {
    const nowMs = this.runtime.nowMs();
    this.#groups.forEach(({ expiresAtMs }, address) => {
      if (expiresAtMs <= nowMs) {
        this.#groups.delete(address);
      }
    });
    addresses.forEach((address) =>
      this.#groups.set(address, { groupName, expiresAtMs: nowMs + EXPIRY_MS }),
    );
  }
}

/**
 * Registers the service that tracks the group of each target.
 *
 * @example
 * const services = [groupsRegistration({ runtime })];
 */
export const groupsRegistration = ({
  runtime,
}: GroupsOptions): Registration<ServiceName.Groups> => ({
  name: ServiceName.Groups,
  requires: [],
  create: () => {
    const service = GroupsService.create(runtime);
    return createInstance(
      { poolOf: service.poolOf },
      {
        handle: (event) => {
          service.handle(event);
          return [];
        },
      },
    );
  },
});
