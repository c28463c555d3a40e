/** @module State of this process that the log lines about requests contain. */
import type { AdmissionApi, AdmissionResult, StoreApi } from '../directory.js';
import type { ExchangeEndState } from '../exchange-log.js';
import type { Exchange } from '../exchange.js';
import type { Runtime } from '../runtime.js';

/** Services from which the state is read. */
export interface EndStateSources {
  readonly runtime: Runtime;
  readonly store: StoreApi;
  readonly admission: AdmissionApi;
}

/** Signature of {@link endStateOf}. */
type EndStateOf = (
  sources: EndStateSources,
  exchange: Exchange,
  admission?: Partial<AdmissionResult>,
) => ExchangeEndState;

/**
 * Age of the copy of the store in whole milliseconds; finite, so that it can be written.
 *
 * @example
 * storeAgeMsOf(store); // 800
 */
export const storeAgeMsOf = (store: StoreApi): number =>
  Math.min(Math.round(store.ageMs()), Number.MAX_SAFE_INTEGER);

/**
 * State when an exchange ends; `admission` is given when it was refused because of it.
 *
 * @example
 * endedLine(exchange, end, endStateOf(sources, exchange));
 */
export const endStateOf: EndStateOf = (
  { runtime, store, admission },
  exchange,
  { passMs, runningCount } = {},
) => ({
  nowMs: runtime.nowMs(),
  passMs: passMs ?? admission.passMsOf(exchange.pool),
  ...(runningCount === undefined ? {} : { runningCount }),
  knowledgeAgeMs: storeAgeMsOf(store),
});
