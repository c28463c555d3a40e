/** @module Requests that were refused lately, so that their return is recognised. */
import { createInstance } from '@ebonysill/kernel';
import { ServiceName, type Registration, type RefusedRequest } from '../directory.js';
import type { CallerRequest } from '../exchange-data.js';
import { returnDigestOf } from '../fingerprint.js';
import RecentMap from '../RecentMap.js';
import type { Runtime } from '../runtime.js';

/** Refused requests that are remembered at most. */
const MAX_ENTRIES = 1_024;

/** Options of the service; it uses the clock of `runtime`. */
export interface ReturnsOptions {
  readonly runtime: Runtime;
}

class ReturnsService {
  readonly #refused = RecentMap.create<RefusedRequest>(MAX_ENTRIES);

  private constructor(private readonly runtime: Runtime) {}

  static create(runtime: Runtime): ReturnsService {
    return new ReturnsService(runtime);
  }

  readonly find = (request: CallerRequest): RefusedRequest | undefined =>
    this.#refused.size === 0 ? undefined : this.#get(returnDigestOf(request));

  readonly record = (request: CallerRequest, refused: RefusedRequest): void => {
    this.#refused.set(String(returnDigestOf(request)), refused);
  };

  #get(digest: number): RefusedRequest | undefined {
    const refused = this.#refused.get(String(digest));
    return refused !== undefined && refused.expiresAtMs > this.runtime.nowMs()
      ? refused
      : undefined;
  }
}

/**
 * Registers the service that remembers refused requests.
 *
 * @example
 * const services = [returnsRegistration({ runtime }), refusalsRegistration({ runtime })];
 */
export const returnsRegistration = ({
  runtime,
}: ReturnsOptions): Registration<ServiceName.Returns> => ({
  name: ServiceName.Returns,
  requires: [],
  create: () => {
    const { find, record } = ReturnsService.create(runtime);
    return createInstance({ find, record }, {});
  },
});
