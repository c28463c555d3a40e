/** @module Ages of the copies of the store that this gateway and the others have. */
import type { OtherCopies } from '@ebonysill/scheduling';
import { createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type CatalogueApi,
  type FindService,
  type MembersApi,
  type Registration,
  type StoreApi,
} from '../directory.js';
import { EventKind, type Event } from '../event.js';
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
  readonly receivedAtMs: number;
  readonly receivedAtSuspendAwareMs: number;
}

class CopiesService {
  /** By address of the gateway that reported. */
  readonly #reported = new Map<string, ReportedCopy>();

  #hasKnownOthers = false;

  readonly #store: StoreApi;

  readonly #catalogue: CatalogueApi;

  readonly #members: MembersApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#store = find(ServiceName.Store);
    this.#catalogue = find(ServiceName.Catalogue);
    this.#members = find(ServiceName.Members);
  }

  static create(runtime: Runtime, find: FindService): CopiesService {
    return new CopiesService(runtime, find);
  }

  readonly ownAgeMs = (): number => {
    const ageMs =
      this.#catalogue.version() === 0
        ? Number.POSITIVE_INFINITY
        : Math.max(this.#store.ageMs(), this.#catalogue.unreadableForMs());
    return Math.min(Math.round(ageMs), Number.MAX_SAFE_INTEGER);
  };

  readonly others = (): OtherCopies => {
    this.#expire();
    this.#hasKnownOthers ||= this.#members.others(PeerRole.Gateway).length > 0;
    return {
      hasOthers: this.#hasKnownOthers,
      agesMs: [...this.#reported.values()].map((copy) => copy.ageMs + this.#elapsedMs(copy)),
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
        receivedAtMs: this.runtime.nowMs(),
        receivedAtSuspendAwareMs: this.runtime.suspendAwareMs(),
      });
    }
  }

  #expire(): void {
    this.#reported.forEach((copy, address) => {
      if (this.#elapsedMs(copy) >= REPORT_EXPIRY_MS) {
        this.#reported.delete(address);
      }
    });
  }

  #elapsedMs({ receivedAtMs, receivedAtSuspendAwareMs }: ReportedCopy): number {
    return Math.max(
      this.runtime.nowMs() - receivedAtMs,
      this.runtime.suspendAwareMs() - receivedAtSuspendAwareMs,
    );
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
  requires: [ServiceName.Store, ServiceName.Catalogue, ServiceName.Members],
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
