/** @module Requests that wait, by service. */
import type { WaitingDemand } from '@ebonysill/scheduling';
import type { Exchange } from '../exchange.js';

/** A request that waits. */
export interface WaitingRequest extends WaitingDemand {
  readonly exchange: Exchange;
  /** Requests that were to start before it when it began to wait. */
  readonly aheadCount: number;
}

/** Requests that wait at most at one gateway; each holds its body in memory. */
const MAX_WAITING = 128;

/** Bounded queue; the order of the requests is decided elsewhere. */
export default class RequestQueue {
  /** By service, then by exchange. */
  readonly #waiting = new Map<string, Map<number, WaitingRequest>>();

  private constructor() {}

  /**
   * Creates an empty queue.
   *
   * @example
   * const queue = RequestQueue.create();
   */
  static create(): RequestQueue {
    return new RequestQueue();
  }

  get size(): number {
    return [...this.#waiting.values()].reduce((sum, { size }) => sum + size, 0);
  }

  get isOverfull(): boolean {
    return this.size > MAX_WAITING;
  }

  /** Services for which a request waits. */
  get services(): readonly string[] {
    return [...this.#waiting.keys()];
  }

  /** Requests that wait for a service, in no order. */
  of(service: string): readonly WaitingRequest[] {
    return [...(this.#waiting.get(service)?.values() ?? [])];
  }

  /** Adds a request, or replaces what is known of it. */
  set(request: WaitingRequest): void {
    const { service } = request.exchange.resolution;
    const waiting = this.#waiting.get(service) ?? new Map<number, WaitingRequest>();
    waiting.set(request.exchange.id, request);
    this.#waiting.set(service, waiting);
  }

  /** Removes a request; undefined when it does not wait. */
  remove(exchangeId: number): WaitingRequest | undefined {
    const found = [...this.#waiting].find(([, waiting]) => waiting.has(exchangeId));
    if (found === undefined) {
      return undefined;
    }
    const [service, waiting] = found;
    const request = waiting.get(exchangeId);
    waiting.delete(exchangeId);
    if (waiting.size === 0) {
      this.#waiting.delete(service);
    }
    return request;
  }
}
