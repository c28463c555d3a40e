/** @module Validates callers' requests and dispatches them to the service for their kind. */
import { createHash } from 'node:crypto';
import {
  CallerIntent,
  EffectKind,
  EventKind,
  LogLevel,
  LogTopic,
  Outcome,
  Reason,
  ServiceName,
  generateId,
  notRun,
  type Call,
  type CallerRequestEvent,
  type Effect,
  type Event,
  type FindService,
  type OrganisationConfiguration,
  type Problem,
  type Registration,
  type Runtime,
  type ServiceConfiguration,
} from '@ebonysill/core';
import { log } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import isIdempotent from './isIdempotent.js';

const KEY_MISSING = notRun(
  Reason.KeyMissing,
  'this call is not idempotent: obtain a key from POST /v1/idempotency-keys and send it along',
);

const DRAINING = notRun(Reason.Draining, 'this process is shutting down');

const NOT_READY = notRun(Reason.NotReady, 'this process has no configuration yet');

const UNKNOWN_ORGANISATION = notRun(
  Reason.UnknownOrganisation,
  'the credential belongs to no organisation',
);

/** Options of {@link intakeRegistration}. */
export interface IntakeOptions {
  readonly runtime: Runtime;
}

const fingerprintOf = ({ service, method, path, body }: CallerRequestEvent): string =>
  createHash('sha256').update(`${service}\n${method}\n${path}\n${body}`).digest('base64url');

class IntakeService {
  readonly #configuration;

  readonly #idempotentCalls;

  readonly #keyedCalls;

  #isDraining = false;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#configuration = find(ServiceName.Configuration);
    this.#idempotentCalls = find(ServiceName.IdempotentCalls);
    this.#keyedCalls = find(ServiceName.KeyedCalls);
  }

  static create(options: IntakeOptions, find: FindService): IntakeService {
    return new IntakeService(options.runtime, find);
  }

  handle(event: Event): readonly Effect[] {
    return event.kind === EventKind.CallerRequest ? this.#onRequest(event) : [];
  }

  drain(): readonly Effect[] {
    this.#isDraining = true;
    return [];
  }

  #onRequest(event: CallerRequestEvent): readonly Effect[] {
    if (this.#configuration.current() === undefined) {
      return this.#refuseEarly(event, NOT_READY);
    }
    const organisation = this.#configuration.organisation(event.credential);
    if (organisation === undefined) {
      return this.#refuseEarly(event, UNKNOWN_ORGANISATION);
    }
    const service = this.#configuration.service(event.service);
    if (service === undefined) {
      const detail = `there is no service "${event.service}"`;
      return this.#refuseEarly(event, notRun(Reason.UnknownService, detail));
    }
    const call = this.#createCall(event, organisation, service);
    return [
      log(LogLevel.Info, LogTopic.RequestAccepted, {
        requestId: call.requestId,
        organisationId: organisation.organisationId,
        service: service.name,
      }),
      ...this.#serve(call),
    ];
  }

  #createCall(
    event: CallerRequestEvent,
    organisation: OrganisationConfiguration,
    service: ServiceConfiguration,
  ): Call {
    const startedAtMs = this.runtime.nowMs();
    const timeoutMs = Math.min(event.deadlineMs ?? service.deadlineMs, service.deadlineMs);
    return {
      exchangeId: event.exchangeId,
      requestId: generateId(this.runtime.random),
      organisation,
      service,
      event,
      fingerprint: fingerprintOf(event),
      startedAtMs,
      deadlineAtMs: startedAtMs + timeoutMs,
    };
  }

  #serve(call: Call): readonly Effect[] {
    const { event, service } = call;
    if (event.intent === CallerIntent.MintKey) {
      return this.#isDraining ? this.#refuseEarly(event, DRAINING) : this.#keyedCalls.mint(call);
    }
    if (isIdempotent(service, event.method, event.path)) {
      return this.#isDraining
        ? this.#refuseEarly(event, DRAINING)
        : this.#idempotentCalls.begin(call);
    }
    if (event.idempotencyKey === undefined) {
      return this.#refuseEarly(event, KEY_MISSING);
    }
    return this.#isDraining
      ? this.#keyedCalls.refuse(call, DRAINING)
      : this.#keyedCalls.begin(call);
  }

  /**
   * Refuses a request before any message about it is sent to another process. Only the process that
   * minted a key can confirm that the key did not run, so a request with a key gets the outcome
   * "unknown".
   */
  #refuseEarly(event: CallerRequestEvent, problem: Problem): readonly Effect[] {
    const hasKey = event.idempotencyKey !== undefined;
    return [
      {
        kind: EffectKind.AnswerProblem,
        exchangeId: event.exchangeId,
        requestId: generateId(this.runtime.random),
        problem: hasKey ? { ...problem, outcome: Outcome.Unknown } : problem,
      },
    ];
  }
}

/**
 * Registers the intake service.
 *
 * @example
 * intakeRegistration({ runtime });
 */
export const intakeRegistration = (options: IntakeOptions): Registration<ServiceName.Intake> => ({
  name: ServiceName.Intake,
  requires: [ServiceName.Configuration, ServiceName.IdempotentCalls, ServiceName.KeyedCalls],
  create: (find) => {
    const service = IntakeService.create(options, find);
    return createInstance(
      {},
      { handle: (event) => service.handle(event), drain: () => service.drain() },
    );
  },
});
