/** @module Keeps the last decisions in memory, to explain them. */
import type { LogEffect, LogFields, LogTopic } from '@ebonysill/core';

/** Requests whose decisions are kept. */
const MAX_REQUESTS = 2_000;

/** Decisions kept of one request. */
const MAX_DECISIONS_PER_REQUEST = 64;

/** One decision. */
export interface LoggedDecision {
  /** On the process's own clock. */
  readonly atMs: number;
  readonly topic: LogTopic;
  readonly fields: LogFields;
}

/** Keeps decisions by request. */
export class DecisionLog {
  readonly #decisionsByRequest = new Map<string, LoggedDecision[]>();

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates an empty journal.
   *
   * @example
   * const journal = Journal.create(runtime.nowMs);
   */
  static create(nowMs: () => number): DecisionLog {
    return new DecisionLog(nowMs);
  }

  /** Keeps a decision that names a request. */
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

  /** The decisions about one request, oldest first. */
  explain(requestId: string): readonly LoggedDecision[] {
    return this.#decisionsByRequest.get(requestId) ?? [];
  }
}
