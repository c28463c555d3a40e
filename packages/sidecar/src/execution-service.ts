/** @module Runs requests on the target: queue, limit, key records, relay of the answers. */
import {
  EffectKind,
  EventKind,
  KeyState,
  LogLevel,
  LogTopic,
  MessageKind,
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
  type LinkMessageEvent,
  type LoadReport,
  type Problem,
  type Registration,
  type RunHistory,
  type RunMessage,
  type Runtime,
  type TargetErrorEvent,
  type TargetHeadEvent,
  type TargetHealthEvent,
} from '@ebonysill/core';
import { clearTimer, log, send, setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import LoadPublisher from './LoadPublisher.js';
import { abortRun, pauseOrResume, startRun } from './run-effects.js';
import { RunTable } from './run-table.js';
import RunGate from './RunGate.js';
import { Run, RunState } from './run.js';

/** HTTP status with which a target refuses a request for lack of capacity. */
const SERVICE_UNAVAILABLE = 503;

/** Options of {@link executionRegistration}. */
export interface ExecutionOptions {
  readonly runtime: Runtime;
  readonly targetId: string;
}

const CALLER_CANCELLED = notRun(Reason.CallerCancelled, 'the caller left before the request ran');

const DEADLINE_PASSED_IN_QUEUE = notRun(Reason.DeadlinePassed, 'the deadline passed in the queue');

const DEADLINE_PASSED_AT_TARGET = unknown(
  Reason.DeadlinePassed,
  'the deadline passed while it ran',
);

const ANSWER_DROPPED = unknown(Reason.RecordDropped, 'it ran; its recorded answer was dropped');

const NO_HISTORY: RunHistory = { recordId: undefined, mayHaveRun: false };

/** Reports "not run" only if no earlier run of the request can have taken place. */
const toReportedProblem = (problem: Problem, { mayHaveRun }: RunHistory): Problem =>
  mayHaveRun ? { ...problem, outcome: Outcome.Unknown } : problem;

class ExecutionService {
  readonly #runs = RunTable.create();

  readonly #configuration;

  readonly #links;

  readonly #suspects;

  readonly #ledger;

  readonly #monitor;

  readonly #gate;

  readonly #loadPublisher;

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
    this.#gate = RunGate.create(options.targetId, {
      configuration: this.#configuration,
      suspects: this.#suspects,
      monitor: this.#monitor,
    });
    const readLoad = (): LoadReport => this.#load();
    this.#loadPublisher = LoadPublisher.create({
      configuration: this.#configuration,
      links: this.#links,
      readLoad,
    });
    this.#links.setLoadReader(readLoad);
  }

  static create(options: ExecutionOptions, find: FindService): ExecutionService {
    return new ExecutionService(options, find);
  }

  readonly api: ExecutionApi = {
    load: () => this.#load(),
    closedProblem: () => this.#gate.closedProblem(this.#isDraining),
    accept: (linkId, message, history) => this.#accept(linkId, message, history),
    attach: (linkId, message, recordId) => this.#attach(linkId, message, recordId),
    endWaiting: (recordId, problem) => this.#endWaiting(recordId, problem),
  };

  handle(event: Event): readonly Effect[] {
    return [...this.#dispatchEvent(event), ...this.#loadPublisher.publishChange()];
  }

  #dispatchEvent(event: Event): readonly Effect[] {
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
    return this.#loadPublisher.publishChange();
  }

  isDrained(): boolean {
    return this.#runs.all().length === 0;
  }

  #onMessage({ linkId, message }: LinkMessageEvent): readonly Effect[] {
    switch (message.kind) {
      case MessageKind.Run:
        return message.key === undefined ? this.#accept(linkId, message, NO_HISTORY) : [];
      case MessageKind.Cancel:
        return this.#onCancel(linkId, message);
      case MessageKind.Credit:
        return this.#onCredit(linkId, message);
      default:
        return [];
    }
  }

  #accept(linkId: string, message: RunMessage, history: RunHistory): readonly Effect[] {
    if (this.#runs.subscription(linkId, message.runId) !== undefined) {
      return [];
    }
    const problem = this.#problemOf(message);
    if (problem !== undefined) {
      return [this.#refuse(linkId, message, history, problem)];
    }
    this.#callCount += 1;
    const callId = `${this.options.targetId}/${this.#callCount}`;
    const nowMs = this.options.runtime.nowMs();
    this.#runs.add(Run.create({ callId, linkId, message, history, nowMs }));
    return [
      setTimer(TimerKind.RunDeadline, callId, message.timeLeftMs),
      ...this.#startWaiting(),
      this.#loadPublisher.acknowledge(linkId),
    ];
  }

  #refuse(linkId: string, message: RunMessage, history: RunHistory, problem: Problem): Effect {
    const { runId, fingerprint } = message;
    const reported = toReportedProblem(problem, history);
    this.#recordFailure(history, fingerprint, reported);
    return this.#sendRunFailed(linkId, runId, reported, this.#gate.suspicionsOf(fingerprint));
  }

  /** Records in the key ledger that a run ended without an answer. */
  #recordFailure({ recordId }: RunHistory, fingerprint: string, problem: Problem): void {
    if (recordId !== undefined) {
      const hasNotRun = problem.outcome === Outcome.RefusedNotRun;
      const state = hasNotRun ? KeyState.NotRun : KeyState.Unknown;
      this.#ledger.finish(recordId, { state, fingerprint, problem });
    }
  }

  /** Why a run of this request is refused at present, if so. */
  #problemOf({ fingerprint }: RunMessage): Problem | undefined {
    const otherFingerprints = this.#runs.all().map(({ message }) => message.fingerprint);
    return (
      this.#gate.closedProblem(this.#isDraining) ??
      this.#gate.suspectProblem(fingerprint, otherFingerprints) ??
      this.#gate.fullProblem(this.#runs.runningCount(), this.#runs.waiting().length)
    );
  }

  #attach(linkId: string, message: RunMessage, recordId: number): readonly Effect[] | undefined {
    const run = this.#runs.byRecord(recordId);
    if (run === undefined) {
      return undefined;
    }
    if (this.#runs.subscription(linkId, message.runId) !== undefined) {
      return [];
    }
    if (!run.answer.isRecorded) {
      return [this.#sendRunFailed(linkId, message.runId, ANSWER_DROPPED)];
    }
    run.subscribe(linkId, message);
    return this.#relayAnswer(run);
  }

  #endWaiting(recordId: number, problem: Problem): readonly Effect[] | undefined {
    const run = this.#runs.byRecord(recordId);
    return run?.state === RunState.Waiting && !run.history.mayHaveRun
      ? this.#failRun(run, problem)
      : undefined;
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

  /**
   * Removes a subscriber. After the last, a waiting or answered run ends and a started run is aborted;
   * a started run with a key record continues, so that its outcome is recorded.
   */
  #detach(run: Run, linkId: string, runId: string): readonly Effect[] {
    run.unsubscribe((subscriber) => subscriber.matches(linkId, runId));
    if (run.subscribers.length > 0) {
      return this.#relayAnswer(run);
    }
    if (run.state === RunState.Waiting) {
      return this.#failRun(run, CALLER_CANCELLED);
    }
    const isAnswered = run.state === RunState.Answered;
    return isAnswered || run.recordId !== undefined ? this.#relayAnswer(run) : abortRun(run);
  }

  #onCredit(linkId: string, { runId, chunkCount }: CreditMessage): readonly Effect[] {
    const subscription = this.#runs.subscription(linkId, runId);
    if (subscription === undefined) {
      return [];
    }
    subscription.subscriber.addCredit(chunkCount);
    return this.#relayAnswer(subscription.run);
  }

  #onHead({ callId, status, contentType }: TargetHeadEvent): readonly Effect[] {
    const run = this.#runs.activeByCall(callId);
    if (run === undefined) {
      return [];
    }
    if (status === SERVICE_UNAVAILABLE && run.recordId === undefined) {
      const problem = unknown(Reason.TargetFailed, 'the target refused the request');
      return [...this.#failSubscribers(run, problem, []), ...abortRun(run)];
    }
    run.setHead({ status, contentType });
    return this.#relayAnswer(run);
  }

  #onChunk(callId: string, data: string): readonly Effect[] {
    const run = this.#runs.activeByCall(callId);
    if (run === undefined) {
      return [];
    }
    run.answer.push(data);
    return this.#relayAnswer(run);
  }

  #onEnd(callId: string): readonly Effect[] {
    const run = this.#runs.activeByCall(callId);
    if (run === undefined) {
      return [];
    }
    run.setState(RunState.Answered);
    this.#suspects.clear(run.message.fingerprint);
    this.#recordAnswer(run);
    return [...this.#relayAnswer(run), ...this.#startWaiting()];
  }

  #recordAnswer(run: Run): void {
    if (run.recordId === undefined || run.head === undefined) {
      return;
    }
    const { fingerprint } = run.message;
    const answer = { ...run.head, chunks: [...run.answer.chunks] };
    this.#ledger.finish(
      run.recordId,
      run.answer.isRecorded
        ? { state: KeyState.Done, fingerprint, answer }
        : { state: KeyState.Done, fingerprint },
    );
  }

  /** Sends what the credit allows; ends the run once every subscriber was sent all of the answer. */
  #relayAnswer(run: Run): readonly Effect[] {
    const effects = run.relay();
    const done = run.unsubscribe((subscriber) => run.hasSentAll(subscriber));
    const load = this.#load();
    const chunkCount = run.answer.knownCount;
    const ends = done.map(({ linkId, runId }) =>
      send(linkId, { kind: MessageKind.RunEnd, runId, chunkCount, load }),
    );
    const isOver = run.state === RunState.Answered && run.subscribers.length === 0;
    return [...effects, ...ends, ...pauseOrResume(run), ...(isOver ? this.#removeRun(run) : [])];
  }

  #onError({ callId, stage }: TargetErrorEvent): readonly Effect[] {
    const run = this.#runs.activeByCall(callId);
    if (run === undefined) {
      return [];
    }
    if (stage === TargetErrorStage.BeforeWrite) {
      const problem = notRun(Reason.TargetLost, 'the target could not be reached');
      return [...this.#failRun(run, problem), ...this.#startWaiting()];
    }
    run.setState(RunState.AwaitingHealth);
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
      ...failed.flatMap((run) => this.#failRun(run, problem, suspicions)),
      ...(suspicions.length > 0 ? this.#loadPublisher.publish(suspicions) : []),
    ];
  }

  /**
   * Handles the deadline of a run or, once it is aborted, the end of its cooldown. A started run with
   * a key record continues without subscribers.
   */
  #onDeadline(callId: string): readonly Effect[] {
    const run = this.#runs.byCall(callId);
    if (run === undefined) {
      return [];
    }
    if (run.state === RunState.Waiting) {
      return this.#failRun(run, DEADLINE_PASSED_IN_QUEUE);
    }
    if (run.state === RunState.Aborting) {
      return [...this.#removeRun(run), ...this.#startWaiting()];
    }
    const failures = this.#failSubscribers(run, DEADLINE_PASSED_AT_TARGET, []);
    if (run.recordId === undefined) {
      return [...failures, ...abortRun(run)];
    }
    run.unsubscribe(() => true);
    return [...failures, ...this.#relayAnswer(run)];
  }

  /** Ends a run that has no complete answer with a problem, and removes it. */
  #failRun(
    run: Run,
    problem: Problem,
    suspicions: readonly CrashSuspicion[] = [],
  ): readonly Effect[] {
    const reported = toReportedProblem(problem, run.history);
    this.#recordFailure(run.history, run.message.fingerprint, reported);
    return [...this.#failSubscribers(run, reported, suspicions), ...this.#removeRun(run)];
  }

  #failSubscribers(
    run: Run,
    problem: Problem,
    suspicions: readonly CrashSuspicion[],
  ): readonly Effect[] {
    return run.subscribers.map(({ linkId, runId }) =>
      this.#sendRunFailed(linkId, runId, problem, suspicions),
    );
  }

  #removeRun(run: Run): readonly Effect[] {
    this.#runs.remove(run);
    const { requestId } = run.message;
    const durationMs = this.options.runtime.nowMs() - run.acceptedAtMs;
    return [
      clearTimer(TimerKind.RunDeadline, run.callId),
      log(LogLevel.Info, LogTopic.RunEnded, {
        requestId,
        durationMs,
        chunkCount: run.answer.knownCount,
      }),
    ];
  }

  /**
   * Starts as many waiting runs as the confirmed limit allows; reads the target's health if the
   * limit itself would allow more.
   */
  #startWaiting(): readonly Effect[] {
    const runningCount = this.#runs.runningCount();
    const freeCount = Math.max(this.#monitor.confirmedLimit() - runningCount, 0);
    const waiting = this.#runs.waiting();
    const started = waiting.slice(0, freeCount);
    const needsHealthRead = waiting.length > started.length && this.#monitor.limit() > runningCount;
    return [
      ...started.flatMap((run) => startRun(run, this.options.targetId)),
      ...(needsHealthRead ? this.#monitor.refresh() : []),
    ];
  }

  #sendRunFailed(
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
