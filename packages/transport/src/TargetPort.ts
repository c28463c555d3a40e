/**
 * @module HTTP client for the target beside this process.
 *
 * Calls use `node:http` because undici reports an answer without a length as complete when its
 * connection is reset.
 */
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import {
  EventKind,
  TargetErrorStage,
  type CallTargetEffect,
  type Event,
  type TargetHealthEvent,
} from '@ebonysill/core';
import {
  AnswerReader,
  HttpClient,
  detectReset,
  limitInformation,
  type AnswerControl,
  hasFinalStatus,
} from '@ebonysill/http';
import { z } from 'zod';
import addResume from './addResume.js';
import { createSplitter } from './chunk-splitter.js';

/** Time in which the target must answer a health check. */
const HEALTH_TIMEOUT_MS = 400;

const MAX_HEALTH_BYTES = 65_536;

const STATUS_OK = 200;

const healthSchema = z.object({ isCold: z.boolean() });

type Health = Pick<TargetHealthEvent, 'isUp' | 'isCold'>;

const DOWN: Health = { isUp: false, isCold: true };

const errorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

interface OpenCall {
  readonly request: ClientRequest;
  /** Until then no part of the request was written. */
  isConnected: boolean;
}

/**
 * Sends requests to the target and posts its answers as events. Each call opens a connection: a
 * reused one could deliver a copy of an earlier answer, and a failure to connect proves that the
 * target did not run the call.
 */
export default class TargetPort {
  readonly #calls = new Map<string, OpenCall>();

  readonly #answers = new Map<string, AnswerControl>();

  readonly #reader = AnswerReader.create();

  readonly #health: HttpClient;

  private constructor(
    private readonly targetUrl: string,
    private readonly post: (event: Event) => void,
  ) {
    this.#health = HttpClient.create({
      address: new URL(targetUrl).host,
      reader: this.#reader,
      isKeptAlive: false,
      maxAnswerBytes: MAX_HEALTH_BYTES,
    });
  }

  /**
   * Creates a port to the target at an address.
   *
   * @example
   * const target = TargetPort.create('http://127.0.0.1:8000', post);
   */
  static create(targetUrl: string, post: (event: Event) => void): TargetPort {
    return new TargetPort(targetUrl, post);
  }

  /**
   * Sends a request once, without retries. Posts `TargetHead`, a `TargetChunk` for each chunk and
   * `TargetEnd`, or `TargetError` as soon as the call fails.
   */
  call(effect: CallTargetEffect): void {
    const { callId } = effect;
    try {
      const body = TargetPort.#bodyOf(effect);
      this.#start(callId, this.#createRequest(effect, body), body);
    } catch (error) {
      // A path or content type that cannot be encoded.
      this.post(TargetPort.#errorEvent(callId, TargetErrorStage.BeforeWrite, error));
    }
  }

  /** Cancels a call; no further event is posted about it. */
  abort(callId: string): void {
    this.#removeCall(callId)?.request.destroy();
  }

  /** Stops reading an answer until `resume`; has no effect before the head has arrived. */
  pause(callId: string): void {
    this.#answers.get(callId)?.pause();
  }

  /** Continues reading an answer. */
  resume(callId: string): void {
    this.#answers.get(callId)?.resume();
  }

  /**
   * Posts the target's health; without a valid answer of success in time, the target counts as down
   * and cold.
   */
  readHealth(): void {
    this.#fetchHealth().then(
      ({ isUp, isCold }) => this.post({ kind: EventKind.TargetHealth, isUp, isCold }),
      () => this.post({ kind: EventKind.TargetHealth, ...DOWN }),
    );
  }

  async #fetchHealth(): Promise<Health> {
    const { status, text } = await this.#health.call({
      path: '/health',
      method: 'GET',
      timeoutMs: HEALTH_TIMEOUT_MS,
    });
    const { isCold } = healthSchema.parse(JSON.parse(text));
    return status === STATUS_OK ? { isUp: true, isCold } : DOWN;
  }

  /** Closes the connections; calls in progress fail. */
  shutdown(): void {
    this.#calls.forEach(({ request: outgoing }) => outgoing.destroy());
    this.#health.close();
  }

  #createRequest(
    { request: target, requestId, idempotencyKey }: CallTargetEffect,
    body: Buffer,
  ): ClientRequest {
    const { hostname, port } = new URL(this.targetUrl);
    return request({
      host: hostname,
      port,
      path: target.path,
      method: target.method,
      headers: {
        'x-request-id': requestId,
        ...(body.length === 0 && target.method === 'GET' ? {} : { 'content-length': body.length }),
        ...(target.contentType === '' ? {} : { 'content-type': target.contentType }),
        ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
      },
      createConnection: this.#reader.connect,
    });
  }

  #start(callId: string, outgoing: ClientRequest, body: Buffer): void {
    const call: OpenCall = { request: outgoing, isConnected: false };
    this.#calls.set(callId, call);
    outgoing.on('socket', (socket) =>
      socket.on('connect', () => {
        call.isConnected = true;
      }),
    );
    limitInformation(outgoing, () => {
      outgoing.destroy();
      this.#onError(callId, new Error('too many informational heads'));
    });
    outgoing.on('response', (answer) => this.#onAnswer(callId, answer));
    outgoing.on('upgrade', (_answer, socket) => {
      socket.destroy();
      this.#onError(callId, new Error('the target changes the protocol'));
    });
    outgoing.on('error', (error) => this.#onError(callId, error));
    outgoing.end(body);
  }

  static #bodyOf({ request: { body }, deliveredCount, deliveredText }: CallTargetEffect): Buffer {
    const text = deliveredCount === 0 ? body : addResume(body, deliveredCount, deliveredText ?? '');
    return Buffer.from(text, 'latin1');
  }

  #onAnswer(callId: string, answer: IncomingMessage): void {
    if (!this.#calls.has(callId)) {
      answer.destroy();
      return;
    }
    if (!hasFinalStatus(answer)) {
      answer.destroy();
      this.#onError(callId, new Error('the answer has no valid status'));
      return;
    }
    const contentType = answer.headers['content-type'] ?? '';
    const splitter = createSplitter(contentType);
    this.post({
      kind: EventKind.TargetHead,
      callId,
      status: answer.statusCode ?? 0,
      contentType,
    });
    const control = this.#reader.read({
      answer,
      onData: (bytes) => this.#postChunks(callId, splitter.push(bytes.toString('latin1'))),
      onFragmented: () => {
        answer.destroy();
        this.#onError(callId, new Error('the answer consists of small chunks'));
      },
    });
    this.#answers.set(callId, control);
    const resetCheck = detectReset(answer);
    // Avoids an unhandled rejection: an answer without an 'end' event has already failed the call.
    resetCheck.catch(() => undefined);
    answer.on('end', () => {
      resetCheck.then(
        () => {
          this.#postChunks(callId, splitter.flush());
          this.#postLast(callId, { kind: EventKind.TargetEnd, callId });
        },
        (error: unknown) => this.#onError(callId, error),
      );
    });
    answer.on('error', (error) => this.#onError(callId, error));
  }

  #postChunks(callId: string, chunks: readonly string[]): void {
    chunks.forEach((data) => {
      if (this.#calls.has(callId)) {
        this.post({ kind: EventKind.TargetChunk, callId, data });
      }
    });
  }

  #onError(callId: string, error: unknown): void {
    const isWritten = this.#calls.get(callId)?.isConnected ?? true;
    const stage = isWritten ? TargetErrorStage.AfterWrite : TargetErrorStage.BeforeWrite;
    this.#postLast(callId, TargetPort.#errorEvent(callId, stage, error));
  }

  static #errorEvent(callId: string, stage: TargetErrorStage, error: unknown): Event {
    return { kind: EventKind.TargetError, callId, stage, detail: errorCodeOf(error) };
  }

  #postLast(callId: string, event: Event): void {
    if (this.#removeCall(callId) !== undefined) {
      this.post(event);
    }
  }

  #removeCall(callId: string): OpenCall | undefined {
    const call = this.#calls.get(callId);
    this.#calls.delete(callId);
    this.#answers.delete(callId);
    return call;
  }
}
