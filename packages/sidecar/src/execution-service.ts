/** @module Runs requests on the target: queue, limit, records, relay of the answers. */
import {
  EffectKind,
  EventKind,
  KeyState,
  KeyVerdict,
  LogLevel,
  LogTopic,
  MessageKind,
  DuplicateCheck,
  Outcome,
  Reason,
  ServiceName,
  TargetErrorStage,
  TargetState,
  TimerKind,
  notRun,
  unknown,
  type CancelMessage,
  type CrashSuspicion,
  type CreditMessage,
  type Effect,
  type Event,
  type ExecutionApi,
  type FindService,
  type KeyRecord,
  type LinkMessageEvent,
  type LoadReport,
  type MintKeyMessage,
  type Problem,
  type Registration,
  type RunMessage,
  type Runtime,
  type TargetErrorEvent,
  type TargetHeadEvent,
  type TargetHealthEvent,
  type TombstoneMessage,
} from '@ebonysill/core';
import { clearTimer, log, send, setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import { holdChunk, isComplete, isStalled, relay } from './relay.js';
import { RunTable } from './run-table.js';
import { RunState, createRun, createSubscriber, knownCount, type Run } from './run.js';

/** Runs that may wait, as a multiple of those that may run. */
const WAITING_RATIO = 2;

/** Status with which a target refuses for lack of capacity. */
const SERVICE_UNAVAILABLE = 503;

/** What the execution service is created from. */
export interface ExecutionOptions {
  readonly runtime: Runtime;
  readonly targetId: string;
}

const VOIDED = notRun(Reason.KeySpent, 'this key was voided before it ran');

const CALLER_LEFT = notRun(Reason.CallerCancelled, 'the caller left before the request ran');

const LATE_IN_QUEUE = notRun(Reason.DeadlinePassed, 'the deadline passed in the queue');

const LATE_AT_TARGET = unknown(Reason.DeadlinePassed, 'the deadline passed while it ran');

const STILL_RUNNING = unknown(Reason.DeadlinePassed, 'the request is still running');

const ANSWER_DROPPED = unknown(Reason.RecordDropped, 'it ran; its recorded answer was dropped');

/** Runs requests. */
class ExecutionService {
  readonly #runs = RunTable.create();

  readonly #configuration;

  readonly #links;

  readonly #suspects;

  readonly #ledger;

  readonly #monitor;

  #callCount = 0;

  #isDraining = false;

  private constructor(
    private readonly options: ExecutionOptions,
    find: FindService,
  ) {
    this.#configuration = find(ServiceName.Configuration);
    this.#links = find(ServiceName.Links);
    this.#suspects = find(ServiceName.Suspects);
    this.#ledger = find(ServiceName.KeyLedger);
    this.#monitor = find(ServiceName.TargetMonitor);
    this.#links.provideLoad(() => this.#load());
  }

  static create(options: ExecutionOptions, find: FindService): ExecutionService {
    return new ExecutionService(options, find);
  }

  readonly api: ExecutionApi = { load: () => this.#load() };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.LinkMessage:
        return this.#onMessage(event);
      case EventKind.LinkClosed:
        return this.#onLinkClosed(event.linkId);
      case EventKind.TargetHead:
        return this.#onHead(event);
      case EventKind.TargetChunk:
        return this.#onChunk(event.callId, event.data);
      case EventKind.TargetEnd:
        return this.#onEnd(event.callId);
      case EventKind.TargetError:
        return this.#onError(event);
      case EventKind.TargetHealth:
        return [...this.#onHealth(event), ...this.#startWaiting()];
      case EventKind.Timer:
        return event.timer === TimerKind.RunDeadline ? this.#onDeadline(event.key) : [];
      default:
        return [];
    }
  }

  drain(): readonly Effect[] {
    this.#isDraining = true;
    return this.#tellLoad([]);
  }

  isDrained(): boolean {
    return this.#runs.all().length === 0;
  }

  #onMessage({ linkId, message }: LinkMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case MessageKind.MintKey:
        return this.#onMint(linkId, message);
      case MessageKind.Run:
        return this.#onRun(linkId, message);
      case MessageKind.Tombstone:
        return this.#onTombstone(linkId, message);
      case MessageKind.Cancel:
        return this.#onCancel(linkId, message);
      case MessageKind.Credit:
        return this.#onCredit(linkId, message);
      default:
        return [];
    }
  }

  #onMint(linkId: string, { runId, organisationId }: MintKeyMessage): readonly Effect[] {
    const gate = this.#gateProblem();
    if (gate !== undefined) {
      return [send(linkId, { kind: MessageKind.KeyRefused, runId, problem: gate })];
    }
    const decision = this.#ledger.mint(organisationId);
    return decision.kind === KeyVerdict.Fresh
      ? [send(linkId, { kind: MessageKind.KeyMinted, runId, key: decision.key })]
      : [send(linkId, { kind: MessageKind.KeyRefused, runId, problem: decision.problem })];
  }

  #onRun(linkId: string, message: RunMessage): readonly Effect[] {
    if (this.#runs.subscription(linkId, message.runId) !== undefined) {
      return [];
    }
    return message.key === undefined
      ? this.#accept(linkId, message, undefined)
      : this.#onKeyedRun(linkId, message, message.key);
  }

  #onKeyedRun(linkId: string, message: RunMessage, key: string): readonly Effect[] {
    const decision = this.#ledger.claim(key, message.organisationId, message.fingerprint);
    switch (decision.kind) {
      case KeyVerdict.Fresh:
        return this.#accept(linkId, message, decision.recordId);
      case KeyVerdict.Known:
        return this.#mayRepeat(decision.record, message)
          ? this.#accept(linkId, message, decision.recordId)
          : this.#attach(linkId, message, decision.recordId, decision.record);
      case KeyVerdict.Refused:
        return this.#mayRunForeign(decision.problem, message)
          ? this.#accept(linkId, message, undefined)
          : [this.#fail(linkId, message.runId, decision.problem)];
      default:
        return decision satisfies never;
    }
  }

  /** Keys of a lost process may run again only where targets themselves refuse a repeat. */
  #mayRunForeign(problem: Problem, message: RunMessage): boolean {
    return (
      problem.reason === Reason.KeyFromLostProcess &&
      this.#checksDuplicates(message.request.service)
    );
  }

  #mayRepeat(record: KeyRecord, message: RunMessage): boolean {
    return record.state === KeyState.Unknown && this.#checksDuplicates(message.request.service);
  }

  #checksDuplicates(service: string): boolean {
    return this.#configuration.service(service)?.duplicateCheck === DuplicateCheck.Key;
  }

  #accept(linkId: string, message: RunMessage, recordId: number | undefined): readonly Effect[] {
    const problem = this.#gateProblem() ?? this.#runProblem(message);
    if (problem !== undefined) {
      this.#recordNotRun(recordId, message.fingerprint, problem);
      const suspicions = this.#suspicionsOf(message.fingerprint);
      return [this.#fail(linkId, message.runId, problem, suspicions)];
    }
    this.#callCount += 1;
    const callId = `${this.options.targetId}/${this.#callCount}`;
    const nowMs = this.options.runtime.nowMs();
    this.#runs.add(createRun({ callId, linkId, message, recordId, nowMs }));
    return [setTimer(TimerKind.RunDeadline, callId, message.timeLeftMs), ...this.#startWaiting()];
  }

  /** Why this process takes no work at all at present. */
  #gateProblem(): Problem | undefined {
    if (this.#isDraining) {
      return notRun(Reason.Draining, 'the process beside the target is shutting down');
    }
    const target = this.#configuration.target(this.options.targetId);
    if (target === undefined) {
      return notRun(Reason.NotReady, 'the target is not in the configuration');
    }
    if (!this.#configuration.isInService(target.availabilityZone)) {
      return notRun(Reason.NoTarget, 'the availability zone is out of service');
    }
    if (this.#monitor.state() === TargetState.Down) {
      return notRun(Reason.TargetLost, 'the target does not answer');
    }
    return undefined;
  }

  /** Why this request is not taken. */
  #runProblem(message: RunMessage): Problem | undefined {
    const { fingerprint } = message;
    if (this.#suspects.isRefused(fingerprint)) {
      return notRun(Reason.CrashSuspect, 'targets crashed while they ran this request');
    }
    if (this.#suspects.crashCount(fingerprint) > 0 && this.#holdsSuspect()) {
      return notRun(Reason.TargetBusy, 'another suspect request is in progress');
    }
    const limit = this.#monitor.limit();
    const isFull = this.#runs.runningCount() >= limit;
    if (isFull && this.#runs.waiting().length >= limit * WAITING_RATIO) {
      return notRun(Reason.TargetBusy, 'the queue of the target is full');
    }
    return undefined;
  }

  #suspicionsOf(fingerprint: string): readonly CrashSuspicion[] {
    const crashCount = this.#suspects.crashCount(fingerprint);
    return crashCount === 0 ? [] : [{ fingerprint, crashCount }];
  }

  #holdsSuspect(): boolean {
    return this.#runs
      .all()
      .some(({ message }) => this.#suspects.crashCount(message.fingerprint) > 0);
  }

  #attach(
    linkId: string,
    message: RunMessage,
    recordId: number,
    record: KeyRecord,
  ): readonly Effect[] {
    const run = this.#runs.byRecord(recordId);
    if (run === undefined) {
      return this.#replay(linkId, message, record);
    }
    if (!run.isRecorded) {
      return [this.#fail(linkId, message.runId, ANSWER_DROPPED)];
    }
    run.subscribers = [...run.subscribers, createSubscriber(linkId, message)];
    return this.#pump(run);
  }

  #replay(linkId: string, message: RunMessage, record: KeyRecord): readonly Effect[] {
    const { runId, deliveredCount } = message;
    const { answer } = record;
    if (answer === undefined) {
      return [this.#fail(linkId, runId, record.problem ?? ANSWER_DROPPED)];
    }
    const { status, contentType, chunks } = answer;
    return [
      send(linkId, { kind: MessageKind.RunHead, runId, status, contentType }),
      ...chunks.slice(deliveredCount).map((data, index) =>
        send(linkId, {
          kind: MessageKind.RunChunk,
          runId,
          sequence: deliveredCount + index,
          data,
        }),
      ),
      send(linkId, { kind: MessageKind.RunEnd, runId, chunkCount: chunks.length }),
    ];
  }

  #onTombstone(linkId: string, message: TombstoneMessage): readonly Effect[] {
    const { runId, key, organisationId } = message;
    const decision = this.#ledger.void(key, organisationId, VOIDED);
    switch (decision.kind) {
      case KeyVerdict.Fresh:
        return [this.#fail(linkId, runId, VOIDED)];
      case KeyVerdict.Refused:
        return [this.#fail(linkId, runId, decision.problem)];
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
    const run = this.#runs.byRecord(recordId);
    if (run?.state === RunState.Waiting) {
      return [...this.#end(run, VOIDED), this.#fail(linkId, runId, VOIDED)];
    }
    const fallback = record.state === KeyState.Running ? STILL_RUNNING : ANSWER_DROPPED;
    return [this.#fail(linkId, runId, record.problem ?? fallback)];
  }

  #onCancel(linkId: string, { runId }: CancelMessage): readonly Effect[] {
    const subscription = this.#runs.subscription(linkId, runId);
    return subscription === undefined ? [] : this.#detach(subscription.run, linkId, runId);
  }

  #onLinkClosed(linkId: string): readonly Effect[] {
    return this.#runs
      .subscriptions(linkId)
      .flatMap(({ run, subscriber }) => this.#detach(run, linkId, subscriber.runId));
  }

  #detach(run: Run, linkId: string, runId: string): readonly Effect[] {
    run.subscribers = run.subscribers.filter(
      (subscriber) => subscriber.linkId !== linkId || subscriber.runId !== runId,
    );
    if (run.subscribers.length > 0) {
      return this.#pump(run);
    }
    if (run.state === RunState.Waiting) {
      return this.#end(run, CALLER_LEFT);
    }
    if (run.recordId !== undefined) {
      return this.#pump(run);
    }
    return [{ kind: EffectKind.AbortTarget, callId: run.callId }, ...this.#forget(run)];
  }

  #onCredit(linkId: string, { runId, chunkCount }: CreditMessage): readonly Effect[] {
    const subscription = this.#runs.subscription(linkId, runId);
    if (subscription === undefined) {
      return [];
    }
    subscription.subscriber.credit += chunkCount;
    return this.#pump(subscription.run);
  }

  #onHead({ callId, status, contentType }: TargetHeadEvent): readonly Effect[] {
    const run = this.#runs.byCall(callId);
    if (run === undefined) {
      return [];
    }
    if (status === SERVICE_UNAVAILABLE && run.recordId === undefined) {
      return [
        { kind: EffectKind.AbortTarget, callId },
        ...this.#end(run, unknown(Reason.TargetFailed, 'the target refused the request')),
      ];
    }
    run.head = { status, contentType };
    return this.#pump(run);
  }

  #onChunk(callId: string, data: string): readonly Effect[] {
    const run = this.#runs.byCall(callId);
    if (run === undefined) {
      return [];
    }
    holdChunk(run, data);
    return this.#pump(run);
  }

  #onEnd(callId: string): readonly Effect[] {
    const run = this.#runs.byCall(callId);
    if (run === undefined) {
      return [];
    }
    run.state = RunState.Answered;
    this.#suspects.clear(run.message.fingerprint);
    this.#recordAnswer(run);
    return [...this.#pump(run), ...this.#startWaiting()];
  }

  #recordAnswer(run: Run): void {
    if (run.recordId === undefined || run.head === undefined) {
      return;
    }
    const { fingerprint } = run.message;
    const answer = { ...run.head, chunks: run.chunks };
    this.#ledger.finish(
      run.recordId,
      run.isRecorded
        ? { state: KeyState.Done, fingerprint, answer }
        : { state: KeyState.Done, fingerprint },
    );
  }

  /** Sends what may be sent; ends the run when everybody has the whole answer. */
  #pump(run: Run): readonly Effect[] {
    const effects = relay(run);
    const done = run.subscribers.filter((subscriber) => isComplete(run, subscriber));
    run.subscribers = run.subscribers.filter((subscriber) => !done.includes(subscriber));
    const load = this.#load();
    const ends = done.map(({ linkId, runId }) =>
      send(linkId, { kind: MessageKind.RunEnd, runId, chunkCount: knownCount(run), load }),
    );
    const isOver = run.state === RunState.Answered && run.subscribers.length === 0;
    return [...effects, ...ends, ...this.#setPaused(run), ...(isOver ? this.#forget(run) : [])];
  }

  #setPaused(run: Run): readonly Effect[] {
    const shouldPause = isStalled(run);
    if (shouldPause === run.isPaused) {
      return [];
    }
    run.isPaused = shouldPause;
    const kind = shouldPause ? EffectKind.PauseTarget : EffectKind.ResumeTarget;
    return [{ kind, callId: run.callId }];
  }

  #onError({ callId, stage }: TargetErrorEvent): readonly Effect[] {
    const run = this.#runs.byCall(callId);
    if (run === undefined) {
      return [];
    }
    if (stage === TargetErrorStage.BeforeWrite) {
      return this.#end(run, notRun(Reason.TargetLost, 'the target could not be reached'));
    }
    run.state = RunState.AwaitingHealth;
    return [{ kind: EffectKind.ReadTargetHealth }];
  }

  /** A failed call on a target that is down or cold afterwards counts as a crash. */
  #onHealth({ isUp, isCold }: TargetHealthEvent): readonly Effect[] {
    const failed = this.#runs.all().filter(({ state }) => state === RunState.AwaitingHealth);
    if (failed.length === 0) {
      return [];
    }
    const hasCrashed = !isUp || isCold;
    const fingerprints = failed.map(({ message }) => message.fingerprint);
    const suspicions = hasCrashed ? this.#suspects.recordCrash(fingerprints) : [];
    const problem = unknown(Reason.TargetLost, 'the target failed while it ran the request');
    return [
      ...failed.flatMap((run) => this.#end(run, problem, suspicions)),
      ...(suspicions.length > 0 ? this.#tellLoad(suspicions) : []),
    ];
  }

  #onDeadline(callId: string): readonly Effect[] {
    const run = this.#runs.byCall(callId);
    if (run === undefined) {
      return [];
    }
    if (run.state === RunState.Waiting) {
      return this.#end(run, LATE_IN_QUEUE);
    }
    if (run.recordId === undefined) {
      return [
        { kind: EffectKind.AbortTarget, callId },
        ...this.#end(run, LATE_AT_TARGET),
        ...this.#startWaiting(),
      ];
    }
    const told = this.#failSubscribers(run, LATE_AT_TARGET, []);
    run.subscribers = [];
    return [...told, ...this.#pump(run)];
  }

  /** Ends a run without a whole answer, and starts the next in its place. */
  #end(run: Run, problem: Problem, suspicions: readonly CrashSuspicion[] = []): readonly Effect[] {
    if (run.recordId !== undefined) {
      const { fingerprint } = run.message;
      const state = problem.outcome === Outcome.RefusedNotRun ? KeyState.NotRun : KeyState.Unknown;
      this.#ledger.finish(run.recordId, { state, fingerprint, problem });
    }
    return [...this.#failSubscribers(run, problem, suspicions), ...this.#forget(run)];
  }

  #failSubscribers(
    run: Run,
    problem: Problem,
    suspicions: readonly CrashSuspicion[],
  ): readonly Effect[] {
    return run.subscribers.map(({ linkId, runId }) =>
      this.#fail(linkId, runId, problem, suspicions),
    );
  }

  #recordNotRun(recordId: number | undefined, fingerprint: string, problem: Problem): void {
    if (recordId !== undefined) {
      this.#ledger.finish(recordId, { state: KeyState.NotRun, fingerprint, problem });
    }
  }

  #forget(run: Run): readonly Effect[] {
    this.#runs.remove(run);
    const { requestId } = run.message;
    const durationMs = this.options.runtime.nowMs() - run.startedMs;
    return [
      clearTimer(TimerKind.RunDeadline, run.callId),
      log(LogLevel.Info, LogTopic.RunEnded, { requestId, durationMs, chunkCount: knownCount(run) }),
    ];
  }

  #startWaiting(): readonly Effect[] {
    const freeCount = Math.max(this.#monitor.limit() - this.#runs.runningCount(), 0);
    return this.#runs
      .waiting()
      .slice(0, freeCount)
      .flatMap((run) => this.#startRun(run));
  }

  #startRun(run: Run): readonly Effect[] {
    run.state = RunState.Running;
    const { requestId, request, key, deliveredText } = run.message;
    return [
      log(LogLevel.Info, LogTopic.RunStarted, { requestId, targetId: this.options.targetId }),
      {
        kind: EffectKind.CallTarget,
        callId: run.callId,
        requestId,
        request,
        deliveredCount: run.firstSequence,
        ...(key === undefined ? {} : { idempotencyKey: key }),
        ...(deliveredText === undefined ? {} : { deliveredText }),
      },
    ];
  }

  #fail(
    linkId: string,
    runId: string,
    problem: Problem,
    suspicions: readonly CrashSuspicion[] = [],
  ): Effect {
    return send(linkId, {
      kind: MessageKind.RunFailed,
      runId,
      problem,
      load: this.#load(),
      ...(suspicions.length > 0 ? { suspicions } : {}),
    });
  }

  #tellLoad(suspicions: readonly CrashSuspicion[]): readonly Effect[] {
    const load = this.#load();
    const revision = this.#configuration.revision();
    return this.#links
      .peers()
      .map(({ linkId }) =>
        send(linkId, { kind: MessageKind.HeartbeatAck, revision, load, suspicions }),
      );
  }

  #load(): LoadReport {
    return {
      targetId: this.options.targetId,
      state: this.#isDraining ? TargetState.Draining : this.#monitor.state(),
      runningCount: this.#runs.runningCount(),
      waitingCount: this.#runs.waiting().length,
      limit: this.#monitor.limit(),
    };
  }
}

/**
 * Registers the execution service.
 *
 * @example
 * executionRegistration({ runtime, targetId: 'assistant-1' });
 */
export const executionRegistration = (
  options: ExecutionOptions,
): Registration<ServiceName.Execution> => ({
  name: ServiceName.Execution,
  requires: [
    ServiceName.Configuration,
    ServiceName.Links,
    ServiceName.Suspects,
    ServiceName.KeyLedger,
    ServiceName.TargetMonitor,
  ],
  create: (find) => {
    const service = ExecutionService.create(options, find);
    return createInstance(service.api, {
      handle: (event) => service.handle(event),
      drain: () => service.drain(),
      isDrained: () => service.isDrained(),
    });
  },
});
