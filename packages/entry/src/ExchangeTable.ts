/** @module Exchanges of one kind, by their name and by the attempts that serve them. */
import type { Call, Message } from '@ebonysill/core';

/** What every exchange has. */
interface Exchange {
  readonly call: Call;
}

/** Keeps exchanges. */
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

  /** Number of exchanges. */
  get size(): number {
    return this.#exchanges.size;
  }

  /** Adds an exchange. */
  add(exchange: TExchange): void {
    this.#exchanges.set(exchange.call.exchangeId, exchange);
  }

  /** The exchange with this name. */
  get(exchangeId: string): TExchange | undefined {
    return this.#exchanges.get(exchangeId);
  }

  /** Forgets an exchange. */
  remove({ call }: TExchange): void {
    this.#exchanges.delete(call.exchangeId);
  }

  /** Every exchange. */
  all(): readonly TExchange[] {
    return [...this.#exchanges.values()];
  }

  /** Lets messages of an attempt find its exchange. */
  bindRun(runId: string, { call }: TExchange): void {
    this.#exchangeIdByRun.set(runId, call.exchangeId);
  }

  /** Ends that for an attempt. */
  unbindRun(runId: string): void {
    this.#exchangeIdByRun.delete(runId);
  }

  /** The exchange that a message belongs to. */
  byMessage(message: Message): TExchange | undefined {
    return 'runId' in message
      ? this.#exchanges.get(this.#exchangeIdByRun.get(message.runId) ?? '')
      : undefined;
  }
}
