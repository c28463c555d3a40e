/** @module Exchanges of one kind, by their id and by the run ids of their attempts. */
import type { Call, Message } from '@ebonysill/core';

interface Exchange {
  readonly call: Call;
}

/** Finds exchanges by id, or by a message of one of their attempts. */
export default class ExchangeTable<TExchange extends Exchange> {
  readonly #exchanges = new Map<string, TExchange>();

  readonly #exchangeIdByRun = new Map<string, string>();

  private constructor() {}

  /**
   * Creates an empty table.
   *
   * @example
   * const exchanges = ExchangeTable.create<KeyedExchange>();
   */
  static create<TExchange extends Exchange>(): ExchangeTable<TExchange> {
    return new ExchangeTable<TExchange>();
  }

  get size(): number {
    return this.#exchanges.size;
  }

  add(exchange: TExchange): void {
    this.#exchanges.set(exchange.call.exchangeId, exchange);
  }

  get(exchangeId: string): TExchange | undefined {
    return this.#exchanges.get(exchangeId);
  }

  /** Removes an exchange; the run ids of its attempts are removed by {@link unbindRun}. */
  remove({ call }: TExchange): void {
    this.#exchanges.delete(call.exchangeId);
  }

  all(): readonly TExchange[] {
    return [...this.#exchanges.values()];
  }

  /** Maps the run id of an attempt to its exchange, for {@link byMessage}. */
  bindRun(runId: string, { call }: TExchange): void {
    this.#exchangeIdByRun.set(runId, call.exchangeId);
  }

  unbindRun(runId: string): void {
    this.#exchangeIdByRun.delete(runId);
  }

  /** The exchange that a message belongs to; undefined for messages without a known run id. */
  byMessage(message: Message): TExchange | undefined {
    return 'runId' in message
      ? this.#exchanges.get(this.#exchangeIdByRun.get(message.runId) ?? '')
      : undefined;
  }
}
