/** @module Announces published engine limits and target addresses to the agents beside ranks. */
import { createInstance } from '@ebonysill/kernel';
import { sendToPeer } from './build-effects.js';
import {
  ServiceName,
  type CatalogueApi,
  type FindService,
  type Registration,
  type TargetsApi,
} from './directory.js';
import type { Effect } from './effect.js';
import { EventKind, type Event } from './event.js';
import { PeerMessageKind, PeerRole, type Member } from './peer-message.js';

class EngineLimitsService {
  readonly #catalogue: CatalogueApi;

  readonly #targets: TargetsApi;

  private constructor(find: FindService) {
    this.#catalogue = find(ServiceName.Catalogue);
    this.#targets = find(ServiceName.Targets);
  }

  static create(find: FindService): EngineLimitsService {
    return new EngineLimitsService(find);
  }

  handle(event: Event): readonly Effect[] {
    if (event.kind !== EventKind.PeerMessageReceived) {
      return [];
    }
    const { address, message } = event;
    switch (message.kind) {
      case PeerMessageKind.Hello:
        return this.#sendLimits(address, message.member);
      case PeerMessageKind.FindTargets:
        return this.#sendTargets(address, message.serviceName);
      default:
        return [];
    }
  }

  #sendLimits(address: string, { role, serviceName = '' }: Member): readonly Effect[] {
    const engine = this.#catalogue.serviceOf(serviceName)?.engine;
    if (role !== PeerRole.RankAgent || engine === undefined) {
      return [];
    }
    const { placesPerRank, spareCapacity, expertCopyMs } = engine;
    return [
      sendToPeer(address, {
        kind: PeerMessageKind.EngineLimits,
        placesPerRank,
        spareCapacity,
        expertCopyMs,
      }),
    ];
  }

  #sendTargets(address: string, serviceName: string): readonly Effect[] {
    const addresses = this.#targets.usable(serviceName).map((target) => target.address);
    return [sendToPeer(address, { kind: PeerMessageKind.TargetAddresses, addresses })];
  }
}

/**
 * Registers the service that answers hellos and target look-ups of agents.
 *
 * @example
 * const services = [catalogueRegistration({ runtime }), engineLimitsRegistration()];
 */
const engineLimitsRegistration = (): Registration<ServiceName.EngineLimits> => ({
  name: ServiceName.EngineLimits,
  requires: [ServiceName.Catalogue, ServiceName.Targets],
  create: (find) => {
    const service = EngineLimitsService.create(find);
    return createInstance({}, { handle: (event) => service.handle(event) });
  },
});

export default engineLimitsRegistration;
