/** @module Writes heads and complete answers to callers. */
import type { ServerResponse } from 'node:http';
import type { HeaderField } from '@ebonysill/gateway';
import type { RefusalAnswer } from './caller-answers.js';

const MS_PER_SECOND = 1_000;

const retryAfterFields = (retryAfterMs: number | undefined): readonly HeaderField[] =>
  retryAfterMs === undefined
    ? []
    : [{ name: 'retry-after', value: String(retryAfterMs / MS_PER_SECOND) }];

/** Writes answers; while the process drains, they ask callers to close their connection. */
export default class AnswerWriter {
  private constructor(private readonly isClosing: () => boolean) {}

  /**
   * Creates a writer.
   *
   * @example
   * AnswerWriter.create(lifecycle.isDraining).writeWhole(response, MALFORMED);
   */
  static create(isClosing: () => boolean): AnswerWriter {
    return new AnswerWriter(isClosing);
  }

  /** Writes a complete answer without ending it. */
  writeWhole(response: ServerResponse, answer: RefusalAnswer): void {
    const sizeBytes = answer.body.reduce((sum, { length }) => sum + length, 0);
    const length: HeaderField = { name: 'content-length', value: String(sizeBytes) };
    this.writeHead(response, answer.status, [
      ...answer.headers,
      length,
      ...retryAfterFields(answer.retryAfterMs),
    ]);
    if (sizeBytes === 0) {
      response.flushHeaders();
      return;
    }
    response.cork();
    answer.body.forEach((block) => response.write(block));
    response.uncork();
  }

  /** Writes the head of an answer. */
  writeHead(response: ServerResponse, status: number, headers: readonly HeaderField[]): void {
    if (this.isClosing()) {
      response.shouldKeepAlive = false;
    }
    response.writeHead(
      status,
      headers.flatMap(({ name, value }) => [name, value]),
    );
  }
}
