/** @module Keeps recent decisions in memory, for the `explain` call of operators. */
import type { LogEffect, LogFields, LogTopic } from '@ebonysill/core';

/** Requests whose decisions are kept; the oldest request is dropped first. */
const MAX_REQUESTS = 2_000;

/** Decisions that are kept per request; later ones are dropped. */
const MAX_DECISIONS_PER_REQUEST = 64;

/** A log line about a request, with its time. */
export interface LoggedDecision {
  /** Time on this process's own clock. */
  readonly atMs: number;
  readonly topic: LogTopic;
  readonly fields: LogFields;
}

/** Recent decisions by request. */
export class DecisionLog {
  readonly #decisionsByRequest = new Map<string, LoggedDecision[]>();

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates an empty log.
   *
   * @example
   * const decisionLog = DecisionLog.create(runtime.nowMs);
   */
  static create(nowMs: () => number): DecisionLog {
    return new DecisionLog(nowMs);
  }

  /** Records a log line; lines without a request id are ignored. */
  record({ topic, fields }: LogEffect): void {
    const { requestId } = fields;
    if (requestId === undefined) {
      return;
    }
    const decisions = this.#decisionsByRequest.get(requestId) ?? [];
    if (decisions.length < MAX_DECISIONS_PER_REQUEST) {
      decisions.push({ atMs: this.nowMs(), topic, fields });
    }
    this.#decisionsByRequest.set(requestId, decisions);
    if (this.#decisionsByRequest.size > MAX_REQUESTS) {
      const [oldest] = this.#decisionsByRequest.keys();
      this.#decisionsByRequest.delete(oldest as string);
    }
  }

  /** Returns the decisions about a request, oldest first; empty if none are kept. */
  explain(requestId: string): readonly LoggedDecision[] {
    return this.#decisionsByRequest.get(requestId) ?? [];
  }
}
