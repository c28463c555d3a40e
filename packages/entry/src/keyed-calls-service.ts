/**
 * @module Serves non-idempotent calls under keys that a sidecar minted beforehand.
 *
 * A key names one incarnation of one sidecar, and only that incarnation may run it. "Not run" is
 * told about the key, not about one send of it: only that incarnation's word counts.
 */
import {
  Admission,
  DuplicateCheck,
  EffectKind,
  EventKind,
  MessageKind,
  Outcome,
  Reason,
  ServiceName,
  TimerKind,
  drawId,
  notRun,
  parseKey,
  unknown,
  type Call,
  type Effect,
  type Event,
  type FindService,
  type KeyedCallsApi,
  type LinkMessageEvent,
  type Message,
  type Peer,
  type Problem,
  type Registration,
  type RunChunkMessage,
  type RunHeadMessage,
  type Runtime,
} from '@ebonysill/core';
import { clearTimer, send, setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import ExchangeTable from './ExchangeTable.js';
import { answerEnd, answerProblem, endLog } from './answers.js';
import { KeyedExchange, KeyedPhase } from './keyed-exchange.js';
import { buildRun } from './run-message.js';

/** Time for a sidecar to void a key. */
const VOID_TIMEOUT_MS = 1_000;

/** Time before the targets of a service are asked for a key once more. */
const MINT_RETRY_MS = 100;

/** What the keyed calls service is created from. */
export interface KeyedCallsOptions {
  readonly runtime: Runtime;
}

const MALFORMED = notRun(Reason.KeyMalformed, 'this is not an idempotency key of this system');

const NO_KEY = notRun(Reason.NoTarget, 'no target could mint a key in time');

const OVERLOADED = notRun(Reason.Overloaded, 'this process has no room for the request');

const DEADLINE = notRun(Reason.DeadlinePassed, 'the deadline passed');

const LOST_PROCESS = unknown(
  Reason.KeyFromLostProcess,
  'the process that minted this key is gone, and its records with it',
);

const UNREACHABLE = unknown(Reason.LinkLost, 'the process that minted this key does not answer');

const CUT = unknown(Reason.StreamCut, 'part of the answer was lost');

const beginAnswer = (exchange: KeyedExchange, head: RunHeadMessage): readonly Effect[] => {
  if (exchange.isHeadSent) {
    return [];
  }
  exchange.beginAnswer();
  const { exchangeId, requestId } = exchange.call;
  const { status, contentType } = head;
  return [{ kind: EffectKind.AnswerHead, exchangeId, requestId, status, contentType }];
};

/** Serves keyed calls. */
class KeyedCallsService {
  readonly #exchanges = ExchangeTable.create<KeyedExchange>();

  readonly #admission;

  readonly #routing;

  readonly #links;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#admission = find(ServiceName.Admission);
    this.#routing = find(ServiceName.Routing);
    this.#links = find(ServiceName.Links);
  }

  static create(options: KeyedCallsOptions, find: FindService): KeyedCallsService {
    return new KeyedCallsService(options.runtime, find);
  }

  readonly api: KeyedCallsApi = {
    begin: (call) => this.#begin(call),
    mint: (call) => this.#mint(call),
    refuse: (call, problem) => this.#refuse(call, problem),
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.LinkMessage:
        return event.message.kind === MessageKind.Hello
          ? this.#onPeerUp(event.message.processId)
          : this.#onMessage(event);
      case EventKind.LinkClosed:
        return this.#onLinkClosed(event.linkId);
      case EventKind.CallerFlushed:
        return this.#onFlushed(event.exchangeId, event.chunkCount);
      case EventKind.CallerGone:
        return this.#onCallerGone(event.exchangeId);
      case EventKind.Timer:
        return this.#onTimer(event.timer, event.key);
      default:
        return [];
    }
  }

  isDrained(): boolean {
    return this.#exchanges.size === 0;
  }

  #mint(call: Call): readonly Effect[] {
    const exchange = KeyedExchange.create(call, undefined, KeyedPhase.AwaitingKey);
    this.#exchanges.add(exchange);
    return [this.#deadlineTimer(call), ...this.#askForKey(exchange)];
  }

  #askForKey(exchange: KeyedExchange): readonly Effect[] {
    const { call, askedTargets } = exchange;
    const peer = this.#routing.pick({
      service: call.service.name,
      excluded: askedTargets,
      fingerprint: call.fingerprint,
    });
    if (peer === undefined) {
      return [setTimer(TimerKind.RetryDelay, call.exchangeId, MINT_RETRY_MS)];
    }
    exchange.ask(peer.processId);
    return this.#sendTo(exchange, peer, {
      kind: MessageKind.MintKey,
      runId: this.#newRun(exchange),
      organisationId: call.organisation.organisationId,
    });
  }

  #begin(call: Call): readonly Effect[] {
    const key = parseKey(call.event.idempotencyKey ?? '');
    if (key === undefined) {
      return answerProblem(call, MALFORMED, this.runtime.nowMs());
    }
    const decision = this.#admission.admit({
      exchangeId: call.exchangeId,
      organisation: call.organisation,
      priority: call.event.priority,
      timeLeftMs: call.deadlineMs - this.runtime.nowMs(),
    });
    if (decision.kind === Admission.Admitted) {
      const exchange = KeyedExchange.create(call, key, KeyedPhase.AwaitingLink);
      this.#exchanges.add(exchange);
      return [this.#deadlineTimer(call), ...this.#dispatch(exchange)];
    }
    this.#admission.release(call.exchangeId);
    return this.#refuse(call, decision.kind === Admission.Refused ? decision.problem : OVERLOADED);
  }

  #refuse(call: Call, problem: Problem): readonly Effect[] {
    const key = parseKey(call.event.idempotencyKey ?? '');
    if (key === undefined) {
      return answerProblem(call, MALFORMED, this.runtime.nowMs());
    }
    const exchange = KeyedExchange.create(call, key, KeyedPhase.AwaitingVoid);
    this.#exchanges.add(exchange);
    return this.#startVoid(exchange, problem);
  }

  #startVoid(exchange: KeyedExchange, problem: Problem): readonly Effect[] {
    const { exchangeId } = exchange.call;
    exchange.become(KeyedPhase.AwaitingVoid);
    exchange.refuse(problem);
    return [
      setTimer(TimerKind.RequestDeadline, exchangeId, VOID_TIMEOUT_MS),
      ...this.#dispatch(exchange),
    ];
  }

  /** Sends to the key's own process, or opens a link to it and waits. */
  #dispatch(exchange: KeyedExchange): readonly Effect[] {
    const { call, key } = exchange;
    if (key === undefined) {
      return [];
    }
    const peer = this.#links.peer(key.targetId);
    if (peer?.incarnation === key.incarnation) {
      return this.#sendKeyed(exchange, peer);
    }
    if (call.service.duplicateCheck === DuplicateCheck.Key) {
      return this.#dispatchAnywhere(exchange);
    }
    if (peer !== undefined) {
      return this.#finish(exchange, LOST_PROCESS);
    }
    return this.#links.ensure(key.targetId);
  }

  /** Any target may run the key, because targets of this service refuse a repeat themselves. */
  #dispatchAnywhere(exchange: KeyedExchange): readonly Effect[] {
    const { service, fingerprint } = exchange.call;
    const peer = this.#routing.pick({ service: service.name, excluded: [], fingerprint });
    return peer === undefined
      ? this.#finish(exchange, UNREACHABLE)
      : this.#sendKeyed(exchange, peer);
  }

  #sendKeyed(exchange: KeyedExchange, peer: Peer): readonly Effect[] {
    const { call, deliveredCount, phase } = exchange;
    const { organisationId } = call.organisation;
    const key = call.event.idempotencyKey ?? '';
    const runId = this.#newRun(exchange);
    if (phase === KeyedPhase.AwaitingVoid) {
      const message: Message = { kind: MessageKind.Tombstone, runId, organisationId, key };
      return this.#sendTo(exchange, peer, message);
    }
    exchange.become(KeyedPhase.AwaitingAnswer);
    const nowMs = this.runtime.nowMs();
    const message = buildRun(call, { runId, nowMs, crashCount: 0, deliveredCount, key });
    return this.#sendTo(exchange, peer, message);
  }

  #newRun(exchange: KeyedExchange): string {
    this.#exchanges.unbind(exchange.runId);
    exchange.start(drawId(this.runtime.random));
    this.#exchanges.bind(exchange.runId, exchange);
    return exchange.runId;
  }

  #sendTo(exchange: KeyedExchange, peer: Peer, message: Message): readonly Effect[] {
    this.#leaveLink(exchange);
    exchange.use(peer.linkId);
    return [send(peer.linkId, message), ...this.#links.retain(peer.linkId)];
  }

  #leaveLink(exchange: KeyedExchange): void {
    const linkId = exchange.leaveLink();
    if (linkId !== undefined) {
      this.#links.release(linkId);
    }
  }

  #onPeerUp(processId: string): readonly Effect[] {
    return this.#exchanges
      .all()
      .filter(({ key, linkId }) => key?.targetId === processId && linkId === undefined)
      .flatMap((exchange) => this.#dispatch(exchange));
  }

  #onMessage({ message }: LinkMessageEvent): readonly Effect[] {
    if (!('runId' in message)) {
      return [];
    }
    const exchange = this.#exchanges.ofMessage(message);
    if (exchange?.runId !== message.runId) {
      return [];
    }
    switch (message.kind) {
      case MessageKind.KeyMinted:
        return this.#onMinted(exchange, message.key);
      case MessageKind.KeyRefused:
        exchange.refuse(message.problem);
        return this.#askForKey(exchange);
      case MessageKind.RunHead:
        return beginAnswer(exchange, message);
      case MessageKind.RunChunk:
        return this.#onChunk(exchange, message);
      case MessageKind.RunEnd:
        return message.chunkCount === exchange.deliveredCount
          ? [...answerEnd(exchange.call, this.runtime.nowMs()), ...this.#forget(exchange)]
          : this.#finish(exchange, CUT);
      case MessageKind.RunFailed:
        return this.#onFailed(exchange, message.problem);
      default:
        return [];
    }
  }

  #onMinted(exchange: KeyedExchange, idempotencyKey: string): readonly Effect[] {
    const { call } = exchange;
    const { exchangeId, requestId } = call;
    return [
      { kind: EffectKind.AnswerKey, exchangeId, requestId, idempotencyKey },
      endLog(call, Outcome.Done, this.runtime.nowMs()),
      ...this.#forget(exchange),
    ];
  }

  #onChunk(exchange: KeyedExchange, { sequence, data }: RunChunkMessage): readonly Effect[] {
    if (sequence < exchange.deliveredCount) {
      return [];
    }
    if (sequence > exchange.deliveredCount) {
      return this.#finish(exchange, CUT);
    }
    exchange.deliver();
    return [{ kind: EffectKind.AnswerChunk, exchangeId: exchange.call.exchangeId, data }];
  }

  #onFailed(exchange: KeyedExchange, problem: Problem): readonly Effect[] {
    const isVoided = problem.outcome === Outcome.RefusedNotRun;
    return this.#finish(exchange, isVoided ? (exchange.refusal ?? problem) : problem);
  }

  /** A lost link is no outcome: the same process is asked again, and it knows the key. */
  #onLinkClosed(linkId: string): readonly Effect[] {
    return this.#exchanges
      .all()
      .filter((exchange) => exchange.linkId === linkId)
      .flatMap((exchange) => {
        exchange.leaveLink();
        if (exchange.phase === KeyedPhase.AwaitingKey) {
          return this.#askForKey(exchange);
        }
        if (exchange.phase === KeyedPhase.AwaitingAnswer) {
          exchange.become(KeyedPhase.AwaitingLink);
        }
        return this.#dispatch(exchange);
      });
  }

  #onFlushed(exchangeId: string, chunkCount: number): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange?.linkId === undefined) {
      return [];
    }
    const { runId, linkId } = exchange;
    const granted = exchange.flushed(chunkCount);
    return granted === 0
      ? []
      : [send(linkId, { kind: MessageKind.Credit, runId, chunkCount: granted })];
  }

  #onCallerGone(exchangeId: string): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    const { call, linkId, runId } = exchange;
    return [
      ...(linkId === undefined ? [] : [send(linkId, { kind: MessageKind.Cancel, runId })]),
      endLog(call, Outcome.Unknown, this.runtime.nowMs(), Reason.CallerCancelled),
      ...this.#forget(exchange),
    ];
  }

  #onTimer(timer: TimerKind, exchangeId: string): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    switch (timer) {
      case TimerKind.RequestDeadline:
        return this.#onDeadline(exchange);
      case TimerKind.RetryDelay:
        exchange.askAgain();
        return this.#askForKey(exchange);
      default:
        return [];
    }
  }

  #onDeadline(exchange: KeyedExchange): readonly Effect[] {
    switch (exchange.phase) {
      case KeyedPhase.AwaitingKey:
        return this.#finish(exchange, exchange.refusal ?? NO_KEY);
      case KeyedPhase.AwaitingLink:
      case KeyedPhase.AwaitingAnswer:
        return exchange.isHeadSent
          ? this.#finish(exchange, CUT)
          : this.#startVoid(exchange, DEADLINE);
      case KeyedPhase.AwaitingVoid:
        return this.#finish(exchange, UNREACHABLE);
      default:
        return exchange.phase satisfies never;
    }
  }

  #finish(exchange: KeyedExchange, problem: Problem): readonly Effect[] {
    return [
      ...answerProblem(exchange.call, problem, this.runtime.nowMs()),
      ...this.#forget(exchange),
    ];
  }

  #forget(exchange: KeyedExchange): readonly Effect[] {
    const { exchangeId } = exchange.call;
    this.#leaveLink(exchange);
    this.#exchanges.unbind(exchange.runId);
    this.#exchanges.remove(exchange);
    this.#admission.release(exchangeId);
    return [
      clearTimer(TimerKind.RequestDeadline, exchangeId),
      clearTimer(TimerKind.RetryDelay, exchangeId),
    ];
  }

  #deadlineTimer(call: Call): Effect {
    const delayMs = call.deadlineMs - this.runtime.nowMs();
    return setTimer(TimerKind.RequestDeadline, call.exchangeId, delayMs);
  }
}

/**
 * Registers the service for keyed calls.
 *
 * @example
 * keyedCallsRegistration({ runtime });
 */
export const keyedCallsRegistration = (
  options: KeyedCallsOptions,
): Registration<ServiceName.KeyedCalls> => ({
  name: ServiceName.KeyedCalls,
  requires: [ServiceName.Admission, ServiceName.Routing, ServiceName.Links],
  create: (find) => {
    const service = KeyedCallsService.create(options, find);
    return createInstance(service.api, {
      handle: (event) => service.handle(event),
      isDrained: () => service.isDrained(),
    });
  },
});
