/** @module Mints keys, runs each key at most once, and reports the outcome of a key. */
import {
  DuplicateCheck,
  EventKind,
  KeyState,
  KeyVerdict,
  MessageKind,
  Reason,
  ServiceName,
  notRun,
  unknown,
  type Effect,
  type Event,
  type FindService,
  type KeyRecord,
  type LinkMessageEvent,
  type MintKeyMessage,
  type Problem,
  type Registration,
  type RunMessage,
  type TombstoneMessage,
} from '@ebonysill/core';
import { send } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';

const VOIDED = notRun(Reason.KeySpent, 'this key was voided before it ran');

const STILL_RUNNING = unknown(Reason.DeadlinePassed, 'the request is still running');

const ANSWER_DROPPED = unknown(Reason.RecordDropped, 'it ran; its recorded answer was dropped');

const sendRunFailed = (linkId: string, runId: string, problem: Problem): Effect =>
  send(linkId, { kind: MessageKind.RunFailed, runId, problem });

const replay = (linkId: string, message: RunMessage, record: KeyRecord): readonly Effect[] => {
  const { runId, deliveredCount } = message;
  const { answer } = record;
  if (answer === undefined) {
    return [sendRunFailed(linkId, runId, record.problem ?? ANSWER_DROPPED)];
  }
  const { status, contentType, chunks } = answer;
  const rest = chunks.slice(deliveredCount);
  return [
    send(linkId, { kind: MessageKind.RunHead, runId, status, contentType }),
    ...rest.map((data, index) =>
      send(linkId, { kind: MessageKind.RunChunk, runId, sequence: deliveredCount + index, data }),
    ),
    send(linkId, { kind: MessageKind.RunEnd, runId, chunkCount: chunks.length }),
  ];
};

class KeyedExecutionService {
  readonly #configuration;

  readonly #ledger;

  readonly #execution;

  private constructor(find: FindService) {
    this.#configuration = find(ServiceName.Configuration);
    this.#ledger = find(ServiceName.KeyLedger);
    this.#execution = find(ServiceName.Execution);
  }

  static create(find: FindService): KeyedExecutionService {
    return new KeyedExecutionService(find);
  }

  handle(event: Event): readonly Effect[] {
    return event.kind === EventKind.LinkMessage ? this.#onMessage(event) : [];
  }

  #onMessage({ linkId, message }: LinkMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case MessageKind.MintKey:
        return [this.#mint(linkId, message)];
      case MessageKind.Run:
        return message.key === undefined ? [] : this.#run(linkId, message, message.key);
      case MessageKind.Tombstone:
        return this.#void(linkId, message);
      default:
        return [];
    }
  }

  #mint(linkId: string, { runId, organisationId }: MintKeyMessage): Effect {
    const closed = this.#execution.closedProblem();
    if (closed !== undefined) {
      return send(linkId, { kind: MessageKind.KeyRefused, runId, problem: closed });
    }
    const decision = this.#ledger.mint(organisationId);
    return decision.kind === KeyVerdict.Fresh
      ? send(linkId, { kind: MessageKind.KeyMinted, runId, key: decision.key })
      : send(linkId, { kind: MessageKind.KeyRefused, runId, problem: decision.problem });
  }

  #run(linkId: string, message: RunMessage, key: string): readonly Effect[] {
    const decision = this.#ledger.claim(key, message.organisationId, message.fingerprint);
    switch (decision.kind) {
      case KeyVerdict.Fresh:
        return this.#execution.accept(linkId, message, {
          recordId: decision.recordId,
          mayHaveRun: false,
        });
      case KeyVerdict.Known:
        return this.#runKnown(linkId, message, decision.recordId, decision.record);
      case KeyVerdict.Refused:
        return this.#mayRunKeyOfLostProcess(decision.problem, message)
          ? this.#execution.accept(linkId, message, { recordId: undefined, mayHaveRun: true })
          : [sendRunFailed(linkId, message.runId, decision.problem)];
      default:
        return decision satisfies never;
    }
  }

  #runKnown(
    linkId: string,
    message: RunMessage,
    recordId: number,
    record: KeyRecord,
  ): readonly Effect[] {
    if (record.state === KeyState.Unknown && this.#checksDuplicates(message)) {
      this.#ledger.finish(recordId, { state: KeyState.Running, fingerprint: record.fingerprint });
      return this.#execution.accept(linkId, message, { recordId, mayHaveRun: true });
    }
    return this.#execution.attach(linkId, message, recordId) ?? replay(linkId, message, record);
  }

  /** Keys of a lost process may run again only where targets reject duplicates themselves. */
  #mayRunKeyOfLostProcess(problem: Problem, message: RunMessage): boolean {
    return problem.reason === Reason.KeyFromLostProcess && this.#checksDuplicates(message);
  }

  #checksDuplicates({ request }: RunMessage): boolean {
    const service = this.#configuration.service(request.service);
    return service?.duplicateCheck === DuplicateCheck.Key;
  }

  #void(linkId: string, { runId, key, organisationId }: TombstoneMessage): readonly Effect[] {
    const decision = this.#ledger.void(key, organisationId, VOIDED);
    switch (decision.kind) {
      case KeyVerdict.Fresh:
        return [sendRunFailed(linkId, runId, VOIDED)];
      case KeyVerdict.Refused:
        return [sendRunFailed(linkId, runId, decision.problem)];
      case KeyVerdict.Known:
        return this.#voidKnown(linkId, runId, decision.recordId, decision.record);
      default:
        return decision satisfies never;
    }
  }

  #voidKnown(
    linkId: string,
    runId: string,
    recordId: number,
    record: KeyRecord,
  ): readonly Effect[] {
    const ended = this.#execution.endWaiting(recordId, VOIDED);
    if (ended !== undefined) {
      return [...ended, sendRunFailed(linkId, runId, VOIDED)];
    }
    const fallback = record.state === KeyState.Running ? STILL_RUNNING : ANSWER_DROPPED;
    return [sendRunFailed(linkId, runId, record.problem ?? fallback)];
  }
}

/**
 * Registers the service that runs keyed calls.
 *
 * @example
 * keyedExecutionRegistration();
 */
const keyedExecutionRegistration = (): Registration<ServiceName.KeyedExecution> => ({
  name: ServiceName.KeyedExecution,
  requires: [ServiceName.Configuration, ServiceName.KeyLedger, ServiceName.Execution],
  create: (find) => {
    const service = KeyedExecutionService.create(find);
    return createInstance({}, { handle: (event) => service.handle(event) });
  },
});

export default keyedExecutionRegistration;
