/** @module Tells the agents beside ranks what operators published of their engines. */
import { createInstance } from '@ebonysill/kernel';
import { sendToPeer } from './build-effects.js';
import { ServiceName, type CatalogueApi, type Registration } from './directory.js';
import type { Effect } from './effect.js';
import { EventKind, type Event } from './event.js';
import { PeerMessageKind, PeerRole } from './peer-message.js';

const advise = (event: Event, catalogue: CatalogueApi): readonly Effect[] => {
  if (
    event.kind !== EventKind.PeerMessageReceived ||
    event.message.kind !== PeerMessageKind.Hello ||
    event.message.member.role !== PeerRole.RankAgent
  ) {
    return [];
  }
  const engine = catalogue.serviceOf(event.message.member.serviceName ?? '')?.engine;
  if (engine === undefined) {
    return [];
  }
  const { placesPerRank, spareCapacity, expertCopyMs } = engine;
  return [
    sendToPeer(event.address, {
      kind: PeerMessageKind.EngineLimits,
      placesPerRank,
      spareCapacity,
      expertCopyMs,
    }),
  ];
};

/**
 * Registers the service that answers agents.
 *
 * @example
 * const services = [catalogueRegistration(), engineAdviceRegistration()];
 */
const engineAdviceRegistration = (): Registration<ServiceName.EngineAdvice> => ({
  name: ServiceName.EngineAdvice,
  requires: [ServiceName.Catalogue],
  create: (find) => {
    const catalogue = find(ServiceName.Catalogue);
    return createInstance({}, { handle: (event) => advise(event, catalogue) });
  },
});

export default engineAdviceRegistration;
