/** @module Callers that send their requests, follow the answers and return when refused. */
import type { Random, VirtualTime } from '@ebonysill/emulator';
import { EffectKind, EventKind, type Effect } from '@ebonysill/gateway';
import SimulatedGateway, { HOP_MS } from './SimulatedGateway.js';
import { MAX_EVENTS, type PlannedRequest } from './traffic.js';

/** How a request ended for its caller. */
export enum Ending {
  Open = 'open',
  Served = 'served',
  /** The last attempt was refused, so no attempt has run. */
  Refused = 'refused',
  Failed = 'failed',
}

/** What a caller saw of its request. */
export interface RequestRecord {
  readonly planned: PlannedRequest;
  ending: Ending;
  refusalCount: number;
  firstEventAtMs?: number;
  lastEventAtMs?: number;
  longestPauseMs: number;
  hasRun: boolean;
  /** Exchange of the last attempt. */
  exchangeId: number;
  /** Gateway of the last attempt. */
  gateway: number;
}

/** Statuses that guarantee that the request has not run. */
const REFUSALS: readonly number[] = [408, 421, 429, 503];

/** Delay of a caller whose connection was refused. */
const UNREACHABLE_MS = 100;

const ABUSIVE_RETRIES = 5;

/** What a record begins with. */
const UNSENT = { ending: Ending.Open, refusalCount: 0, longestPauseMs: 0, hasRun: false };

const SAME_GATEWAY_SHARE = 0.2;

/** All callers of a run. */
export class Callers {
  /** Refused requests that ran, against the promise of a refusal. */
  brokenRefusalCount = 0;

  /** By the identifier of the request. */
  readonly #records = new Map<number, RequestRecord>();

  /** Requests with an attempt in progress, by the identifier of its exchange. */
  readonly #attempts = new Map<number, RequestRecord>();

  #exchangeCount = 0;

  private constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly gateways: readonly SimulatedGateway[],
  ) {}

  /**
   * Creates callers of these gateways.
   *
   * @example
   * Callers.create(time, random, gateways).schedule(requests);
   */
  static create(time: VirtualTime, random: Random, gateways: readonly SimulatedGateway[]): Callers {
    return new Callers(time, random, gateways);
  }

  get records(): readonly RequestRecord[] {
    return [...this.#records.values()];
  }

  /** Sends each request when it arrives. */
  schedule(requests: readonly PlannedRequest[]): void {
    requests.forEach((planned) => {
      const record: RequestRecord = { planned, gateway: planned.gateway, exchangeId: 0, ...UNSENT };
      this.#records.set(planned.id, record);
      this.time.schedule(planned.arrivesAtMs, () => this.#send(record, planned.gateway));
    });
  }

  /** A target begins to run the request with this body. */
  recordRun(body: Uint8Array): void {
    const { id } = JSON.parse(Buffer.from(body).toString()) as PlannedRequest;
    const record = this.#records.get(id);
    this.brokenRefusalCount += record?.ending === Ending.Open ? 0 : 1;
    Object.assign(record ?? {}, { hasRun: true });
  }

  /** Ends all attempts at a gateway whose process ended. */
  disconnect(gateway: number): void {
    [...this.#attempts.values()]
      .filter((record) => record.gateway === gateway)
      .forEach((record) => this.#end(record, Ending.Failed));
  }

  /** Handles what a gateway sends to a caller; ignores its other effects. */
  onAnswer(effect: Effect): void {
    const record = 'exchangeId' in effect ? this.#attempts.get(effect.exchangeId) : undefined;
    if (record === undefined) {
      return;
    }
    switch (effect.kind) {
      case EffectKind.SendAnswer:
        if (REFUSALS.includes(effect.status)) {
          this.#onRefused(record, effect.retryAfterMs ?? 0);
        } else {
          this.#recordEvent(record);
          this.#end(record, effect.status === 200 ? Ending.Served : Ending.Failed);
        }
        break;
      case EffectKind.ContinueAnswer:
        this.#recordEvent(record);
        break;
      case EffectKind.EndAnswer:
        this.#end(record, Ending.Served);
        break;
      case EffectKind.AbortAnswer:
        this.#end(record, Ending.Failed);
        break;
      default:
    }
  }

  #send(record: RequestRecord, gateway: number): void {
    const { id, kind, organisation, deadlineAtMs, promptTokens, eventCount } = record.planned;
    const { answerTokensHint } = record.planned;
    this.#exchangeCount += 1;
    const exchangeId = this.#exchangeCount;
    Object.assign(record, { ending: Ending.Open, exchangeId, gateway });
    this.#attempts.set(exchangeId, record);
    if (this.gateways[gateway]?.isUp !== true) {
      this.#onRefused(record, UNREACHABLE_MS);
      return;
    }
    const remainingMs = deadlineAtMs - this.time.nowMs;
    const request = {
      ...{ attemptId: `${id}-${exchangeId}`, host: 'app.example', method: 'POST', headers: [] },
      ...{ path: `/${kind.name}/x`, credential: `key-${organisation}`, remainingMs, promptTokens },
      ...(promptTokens > 0 ? { maxAnswerTokens: 4 * MAX_EVENTS } : {}),
      ...(answerTokensHint === undefined ? {} : { answerTokensHint }),
      promptSegments: promptTokens > 0 ? ['shared'] : [],
      body: Buffer.from(JSON.stringify({ id, promptTokens, eventCount })),
    };
    const post = (event: Parameters<SimulatedGateway['post']>[0]): void =>
      this.gateways[gateway]?.post(event);
    this.time.schedule(HOP_MS, () => {
      if (this.#attempts.has(exchangeId)) {
        post({ kind: EventKind.RequestReceived, exchangeId, request });
      }
    });
    this.time.schedule(remainingMs, () => {
      if (this.#attempts.has(exchangeId)) {
        this.#end(record, Ending.Failed);
        post({ kind: EventKind.CallerDisconnected, exchangeId });
      }
    });
  }

  #end(record: RequestRecord, ending: Ending): void {
    this.#attempts.delete(record.exchangeId);
    Object.assign(record, { ending });
  }

  #recordEvent(record: RequestRecord): void {
    const { nowMs } = this.time;
    const { lastEventAtMs = nowMs, firstEventAtMs = nowMs, longestPauseMs } = record;
    Object.assign(record, {
      firstEventAtMs,
      lastEventAtMs: nowMs,
      longestPauseMs: Math.max(longestPauseMs, nowMs - lastEventAtMs),
    });
  }

  /** Returns after the time told, up to a third of the time left; abusive callers return at once. */
  #onRefused(record: RequestRecord, retryAfterMs: number): void {
    const { isAbusive, deadlineAtMs } = record.planned;
    this.#end(record, Ending.Refused);
    this.brokenRefusalCount += record.hasRun ? 1 : 0;
    Object.assign(record, { refusalCount: record.refusalCount + 1 });
    const leftMs = deadlineAtMs - this.time.nowMs;
    const waitMs = isAbusive ? HOP_MS : Math.min(retryAfterMs, leftMs / 3);
    if (record.refusalCount <= (isAbusive ? ABUSIVE_RETRIES : 1) && leftMs > waitMs) {
      const isSame = this.random() < SAME_GATEWAY_SHARE;
      const offset = isSame ? 0 : 1 + Math.floor(this.random() * (this.gateways.length - 1));
      const next = (record.gateway + offset) % this.gateways.length;
      this.time.schedule(waitMs, () => this.#send(record, next));
    }
  }
}
