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
    const body = Buffer.concat(answer.body);
    const length: HeaderField = { name: 'content-length', value: String(body.length) };
    this.writeHead(response, answer.status, [
      ...answer.headers,
      length,
      ...retryAfterFields(answer.retryAfterMs),
    ]);
    if (body.length > 0) {
      response.write(body);
    } else {
      response.flushHeaders();
    }
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
