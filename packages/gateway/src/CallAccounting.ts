/** @module Tells the services that measure, limit and share load of each call's start, progress and end. */
import type { TargetHead } from './exchange-data.js';
import {
  ServiceName,
  type AdmissionApi,
  type ColdStartsApi,
  type FindService,
  type LoadsApi,
  type NoticesApi,
  type ResultsApi,
  type RoutingApi,
  type SuspectsApi,
  type ThroughputApi,
} from './directory.js';
import type { Effect } from './effect.js';
import type { StreamEvent } from './event-splitter.js';
import type { Exchange } from './exchange.js';
import { ageMsOf, momentNow } from './moment.js';
import type { PublishedTarget } from './published.js';
import type { Runtime } from './runtime.js';
import { TargetResultKind } from './target-result.js';

/** Names of the services that are told. */
export const ACCOUNTING_SERVICES = [
  ServiceName.Routing,
  ServiceName.Loads,
  ServiceName.Suspects,
  ServiceName.Admission,
  ServiceName.ColdStarts,
  ServiceName.Notices,
  ServiceName.Throughput,
  ServiceName.Results,
] as const;

/** Accounts of the calls of one gateway; it uses the clocks of `runtime`. */
export default class CallAccounting {
  readonly #routing: RoutingApi;

  readonly #loads: LoadsApi;

  readonly #suspects: SuspectsApi;

  readonly #admission: AdmissionApi;

  readonly #coldStarts: ColdStartsApi;

  readonly #notices: NoticesApi;

  readonly #throughput: ThroughputApi;

  readonly #results: ResultsApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#routing = find(ServiceName.Routing);
    this.#loads = find(ServiceName.Loads);
    this.#suspects = find(ServiceName.Suspects);
    this.#admission = find(ServiceName.Admission);
    this.#coldStarts = find(ServiceName.ColdStarts);
    this.#notices = find(ServiceName.Notices);
    this.#throughput = find(ServiceName.Throughput);
    this.#results = find(ServiceName.Results);
  }

  /**
   * Creates accounts without calls.
   *
   * @example
   * const accounting = CallAccounting.create(runtime, find);
   */
  static create(runtime: Runtime, find: FindService): CallAccounting {
    return new CallAccounting(runtime, find);
  }

  /** Records a call that is sent now; the effects announce it to the other gateways. */
  recordStart(exchange: Exchange, target: PublishedTarget): readonly Effect[] {
    const work = this.#routing.workOf(exchange);
    exchange.recordStart(momentNow(this.runtime), work);
    const announcements = this.#loads.recordStart(target.instanceId, work);
    this.#coldStarts.recordStart(target);
    this.#notices.recordStart(target);
    this.#suspects.recordSent(exchange);
    const { service, organisation, moreUrgentLevels } = exchange.resolution;
    this.#throughput.recordStart(service, organisation?.name ?? '');
    if (exchange.isStream) {
      this.#admission.recordStart(exchange.pool, exchange.id, moreUrgentLevels);
    }
    return announcements;
  }

  /** Records that a call no longer counts as load or as a running stream. */
  recordEnd(exchange: Exchange, target: PublishedTarget): void {
    const { pool } = exchange;
    if (exchange.countsAsLoad) {
      this.#loads.recordEnd(target.instanceId, exchange.outstandingWork);
    }
    this.#admission.recordEnd(pool, exchange.id);
    this.#throughput.recordEnd(pool, ageMsOf(this.runtime, exchange.calledAt));
  }

  /** Records that a target has done its work and waits for its answer to be read. */
  recordAnswerWaits(exchange: Exchange): void {
    const { target, countsAsLoad } = exchange;
    if (target !== undefined && countsAsLoad) {
      this.#loads.recordEnd(target.instanceId, exchange.outstandingWork);
      exchange.releaseLoad();
    }
  }

  /** Records the head of an answer; the effects log what its target says of itself. */
  recordHead({ target, calledAt }: Exchange, head: TargetHead): readonly Effect[] {
    return target === undefined ? [] : this.#notices.recordHead(target, head, calledAt);
  }

  /** Records an event of a stream that its caller does not have yet. */
  recordProgress(exchange: Exchange, event: StreamEvent): void {
    if (exchange.firstEventMs === undefined) {
      this.recordAnswerTime(exchange);
    }
    const pauseMs = exchange.recordEvent(this.runtime.nowMs(), event.id);
    if (pauseMs === undefined) {
      this.recordAnswered(exchange);
    }
    this.#admission.recordEvent(exchange.pool, exchange.id, pauseMs);
    exchange.recordGroupEvents(this.#admission.eventCountOf(exchange.pool));
  }

  /** Records the time to an answer; that of a request with several calls is not usual. */
  recordAnswerTime({ resolution, receivedAtMs, wait, triedIds }: Exchange): void {
    if (triedIds.size === 1) {
      const timeMs = this.runtime.nowMs() - receivedAtMs - (wait?.waitedMs ?? 0);
      this.#throughput.recordAnswer(resolution.route.name, timeMs);
    }
  }

  /** Records that the answer of the current call has begun, or has arrived if it is no stream. */
  recordAnswered(exchange: Exchange): void {
    const { target, calledAt } = exchange;
    if (target === undefined) {
      return;
    }
    const latencyMs = ageMsOf(this.runtime, calledAt);
    this.#results.recordResult(target, { kind: TargetResultKind.Answered, latencyMs });
    const work = exchange.callId === undefined ? undefined : exchange.recordPromptRead();
    if (work !== undefined) {
      this.#loads.recordPromptRead(target.instanceId, work);
    }
  }

  /** Records a call that failed, or that its target rejected. */
  recordFailure({ target }: Exchange, kind: TargetResultKind.Failed | TargetResultKind.Full): void {
    if (target !== undefined) {
      this.#results.recordResult(target, { kind });
    }
  }
}
