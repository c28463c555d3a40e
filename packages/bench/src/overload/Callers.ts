/** @module Callers that send their requests, follow the answers and return when refused. */
import type { Random, VirtualTime } from '@ebonysill/emulator';
import { EffectKind, EventKind } from '@ebonysill/gateway';
import SimulatedGateway, { HOP_MS, type AnswerEffect } from './SimulatedGateway.js';
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
}

/** Statuses that guarantee that the request has not run. */
const REFUSALS: readonly number[] = [408, 421, 429, 503];

/** Delay of a caller whose connection was refused. */
const UNREACHABLE_MS = 100;

const ABUSIVE_RETRIES = 5;

const SAME_GATEWAY_SHARE = 0.2;

interface Attempt {
  readonly exchangeId: number;
  readonly record: RequestRecord;
  readonly gateway: number;
}

/** All callers of a run. */
export class Callers {
  readonly records: RequestRecord[] = [];

  /** Refused requests that ran, against the promise of a refusal. */
  brokenRefusalCount = 0;

  readonly #attempts = new Map<number, Attempt>();

  readonly #openIds = new Set<number>();

  readonly #ranIds = new Set<number>();

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

  /** Sends each request when it arrives. */
  schedule(requests: readonly PlannedRequest[]): void {
    requests.forEach((planned) => {
      const record = { planned, ending: Ending.Open, refusalCount: 0, longestPauseMs: 0 };
      this.records.push(record);
      this.time.schedule(planned.arrivesAtMs, () => this.#send(record, planned.gateway));
    });
  }

  /** A target begins to run the request with this body. */
  recordRun(body: Uint8Array): void {
    const { id } = JSON.parse(Buffer.from(body).toString()) as PlannedRequest;
    this.#ranIds.add(id);
    this.brokenRefusalCount += this.#openIds.has(id) ? 0 : 1;
  }

  /** Ends all attempts at a gateway whose process ended. */
  disconnect(gateway: number): void {
    [...this.#attempts.values()]
      .filter((attempt) => attempt.gateway === gateway)
      .forEach((attempt) => this.#end(attempt, Ending.Failed));
  }

  /** Handles what a gateway sends. */
  onAnswer(effect: AnswerEffect): void {
    const attempt = this.#attempts.get(effect.exchangeId);
    if (attempt === undefined) {
      return;
    }
    switch (effect.kind) {
      case EffectKind.SendAnswer:
        if (REFUSALS.includes(effect.status)) {
          this.#onRefused(attempt, effect.retryAfterMs ?? 0);
        } else {
          this.#recordEvent(attempt.record);
          this.#end(attempt, effect.status === 200 ? Ending.Served : Ending.Failed);
        }
        break;
      case EffectKind.ContinueAnswer:
        this.#recordEvent(attempt.record);
        break;
      case EffectKind.EndAnswer:
        this.#end(attempt, Ending.Served);
        break;
      case EffectKind.AbortAnswer:
        this.#end(attempt, Ending.Failed);
        break;
      default:
    }
  }

  #send(record: RequestRecord, gateway: number): void {
    const { id, kind, organisation, deadlineAtMs, promptTokens, eventCount } = record.planned;
    const { answerTokensHint } = record.planned;
    this.#exchangeCount += 1;
    const exchangeId = this.#exchangeCount;
    const attempt = { exchangeId, record, gateway };
    Object.assign(record, { ending: Ending.Open });
    this.#attempts.set(exchangeId, attempt);
    this.#openIds.add(id);
    if (this.gateways[gateway]?.isUp !== true) {
      this.#onRefused(attempt, UNREACHABLE_MS);
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
        this.#end(attempt, Ending.Failed);
        post({ kind: EventKind.CallerDisconnected, exchangeId });
      }
    });
  }

  #end({ exchangeId, record }: Attempt, ending: Ending): void {
    this.#attempts.delete(exchangeId);
    this.#openIds.delete(record.planned.id);
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
  #onRefused(attempt: Attempt, retryAfterMs: number): void {
    const { record, gateway } = attempt;
    const { id, isAbusive, deadlineAtMs } = record.planned;
    this.#end(attempt, Ending.Refused);
    this.brokenRefusalCount += this.#ranIds.has(id) ? 1 : 0;
    record.refusalCount += 1;
    const leftMs = deadlineAtMs - this.time.nowMs;
    const waitMs = isAbusive ? HOP_MS : Math.min(retryAfterMs, leftMs / 3);
    if (record.refusalCount <= (isAbusive ? ABUSIVE_RETRIES : 1) && leftMs > waitMs) {
      const isSame = this.random() < SAME_GATEWAY_SHARE;
      const offset = isSame ? 0 : 1 + Math.floor(this.random() * (this.gateways.length - 1));
      const next = (gateway + offset) % this.gateways.length;
      this.time.schedule(waitMs, () => this.#send(record, next));
    }
  }
}
