/** @module Keeps the last decisions in memory, to explain them. */
import type { LogEffect, LogFields, LogTopic } from '@ebonysill/core';

/** Requests whose decisions are kept. */
const MAX_REQUESTS = 2_000;

/** Decisions kept of one request. */
const MAX_LINES_PER_REQUEST = 64;

/** One decision. */
export interface JournalLine {
  /** On the process's own clock. */
  readonly atMs: number;
  readonly topic: LogTopic;
  readonly fields: LogFields;
}

/** Keeps decisions by request. */
export class Journal {
  readonly #linesByRequest = new Map<string, JournalLine[]>();

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates an empty journal.
   *
   * @example
   * const journal = Journal.create(runtime.nowMs);
   */
  static create(nowMs: () => number): Journal {
    return new Journal(nowMs);
  }

  /** Keeps a decision that names a request. */
  note({ topic, fields }: LogEffect): void {
    const { requestId } = fields;
    if (requestId === undefined) {
      return;
    }
    const lines = this.#linesByRequest.get(requestId) ?? [];
    if (lines.length < MAX_LINES_PER_REQUEST) {
      lines.push({ atMs: this.nowMs(), topic, fields });
    }
    this.#linesByRequest.set(requestId, lines);
    if (this.#linesByRequest.size > MAX_REQUESTS) {
      const [oldest] = this.#linesByRequest.keys();
      this.#linesByRequest.delete(oldest as string);
    }
  }

  /** The decisions about one request, oldest first. */
  explain(requestId: string): readonly JournalLine[] {
    return this.#linesByRequest.get(requestId) ?? [];
  }
}
