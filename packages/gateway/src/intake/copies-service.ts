/** @module Ages of the copies of the store that this gateway and the others have. */
import type { OtherCopies } from '@ebonysill/scheduling';
import { createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type CatalogueApi,
  type FindService,
  type MembersApi,
  type PeerKnowledgeApi,
  type Registration,
  type StoreApi,
} from '../directory.js';
import { EventKind, type Event } from '../event.js';
import { ageMsOf, momentNow, type Moment } from '../moment.js';
import { PeerMessageKind, PeerRole } from '../peer-message.js';
import { MAX_CREDENTIAL_AGE_MS } from '../request-check.js';
import type { Runtime } from '../runtime.js';

/** A report is used for this long; idle gateways report once a second, so two may be lost. */
const REPORT_EXPIRY_MS = 2_500;

/** Options of the service; it uses the clocks of `runtime`. */
export interface CopiesOptions {
  readonly runtime: Runtime;
}

interface ReportedCopy {
  readonly ageMs: number;
  readonly receivedAt: Moment;
}

class CopiesService {
  /** By address of the gateway that reported. */
  readonly #reported = new Map<string, ReportedCopy>();

  #hasKnownOthers = false;

  readonly #store: StoreApi;

  readonly #catalogue: CatalogueApi;

  readonly #peerKnowledge: PeerKnowledgeApi;

  readonly #members: MembersApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#store = find(ServiceName.Store);
    this.#catalogue = find(ServiceName.Catalogue);
    this.#peerKnowledge = find(ServiceName.PeerKnowledge);
    this.#members = find(ServiceName.Members);
  }

  static create(runtime: Runtime, find: FindService): CopiesService {
    return new CopiesService(runtime, find);
  }

  readonly ownAgeMs = (): number => {
    const ageMs =
      this.#catalogue.version() === 0 || !this.#peerKnowledge.isConfigurationCurrent()
        ? Number.POSITIVE_INFINITY
        : Math.max(this.#store.ageMs(), this.#catalogue.unreadableForMs());
    return Math.min(Math.round(ageMs), Number.MAX_SAFE_INTEGER);
  };

  readonly others = (): OtherCopies => {
    this.#expire();
    this.#hasKnownOthers ||= this.#members.others(PeerRole.Gateway).length > 0;
    return {
      hasOthers: this.#hasKnownOthers,
      agesMs: [...this.#reported.values()].map(
        ({ ageMs, receivedAt }) => ageMs + ageMsOf(this.runtime, receivedAt),
      ),
      maxAgeMs: MAX_CREDENTIAL_AGE_MS,
    };
  };

  handle(event: Event): void {
    if (
      event.kind !== EventKind.PeerMessageReceived ||
      event.message.kind !== PeerMessageKind.Load
    ) {
      return;
    }
    this.#hasKnownOthers = true;
    const { copyAgeMs } = event.message;
    if (copyAgeMs !== undefined) {
      this.#reported.set(event.address, {
        ageMs: copyAgeMs,
        receivedAt: momentNow(this.runtime),
      });
    }
  }

  #expire(): void {
    this.#reported.forEach(({ receivedAt }, address) => {
      if (ageMsOf(this.runtime, receivedAt) >= REPORT_EXPIRY_MS) {
        this.#reported.delete(address);
      }
    });
  }
}

/**
 * Registers the service that knows the ages of the gateways' copies of the store.
 *
 * @example
 * const services = [membersRegistration(options), copiesRegistration({ runtime })];
 */
export const copiesRegistration = ({
  runtime,
}: CopiesOptions): Registration<ServiceName.Copies> => ({
  name: ServiceName.Copies,
  requires: [
    ServiceName.Store,
    ServiceName.Catalogue,
    ServiceName.PeerKnowledge,
    ServiceName.Members,
  ],
  create: (find) => {
    const service = CopiesService.create(runtime, find);
    return createInstance(
      { ownAgeMs: service.ownAgeMs, others: service.others },
      {
        handle: (event) => {
          service.handle(event);
          return [];
        },
      },
    );
  },
});
