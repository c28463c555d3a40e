/** @module The runs of one sidecar, by call, by record and by subscriber. */
import { RunState, type Run } from './run.js';
import type { Subscriber } from './subscriber.js';

/** A subscriber together with its run. */
export interface Subscription {
  readonly run: Run;
  readonly subscriber: Subscriber;
}

/** States in which a run occupies the target. */
const OCCUPYING_STATES: readonly RunState[] = [
  RunState.Running,
  RunState.AwaitingHealth,
  RunState.Aborting,
];

/** Finds runs by call, record or subscription. */
export class RunTable {
  readonly #runs = new Map<string, Run>();

  private constructor() {}

  /**
   * Creates an empty table.
   *
   * @example
   * const table = RunTable.create();
   */
  static create(): RunTable {
    return new RunTable();
  }

  add(run: Run): void {
    this.#runs.set(run.callId, run);
  }

  remove(run: Run): void {
    this.#runs.delete(run.callId);
  }

  byCall(callId: string): Run | undefined {
    return this.#runs.get(callId);
  }

  /** The run with this call, unless it was aborted. */
  activeByCall(callId: string): Run | undefined {
    const run = this.#runs.get(callId);
    return run?.state === RunState.Aborting ? undefined : run;
  }

  /** The run of a record in the key ledger. */
  byRecord(recordId: number): Run | undefined {
    return this.all().find((run) => run.recordId === recordId);
  }

  /** The subscription of one attempt on one link. */
  subscription(linkId: string, runId: string): Subscription | undefined {
    return this.subscriptions(linkId).find(({ subscriber }) => subscriber.runId === runId);
  }

  subscriptions(linkId: string): readonly Subscription[] {
    return this.all().flatMap((run) =>
      run.subscribers
        .filter((subscriber) => subscriber.linkId === linkId)
        .map((subscriber) => ({ run, subscriber })),
    );
  }

  all(): readonly Run[] {
    return [...this.#runs.values()];
  }

  /** Waiting runs, highest priority first. */
  waiting(): readonly Run[] {
    return this.all()
      .filter(({ state }) => state === RunState.Waiting)
      .sort((left, right) => right.message.priority - left.message.priority);
  }

  /** Number of runs that occupy the target. */
  runningCount(): number {
    return this.all().filter(({ state }) => OCCUPYING_STATES.includes(state)).length;
  }
}
