/** @module HTTP client for the target beside this process. */
import type { Readable } from 'node:stream';
import { EventKind, TargetErrorStage, type CallTargetEffect, type Event } from '@ebonysill/core';
import { Agent, type Dispatcher } from 'undici';
import { z } from 'zod';
import addResume from './addResume.js';
import { createSplitter } from './chunk-splitter.js';

/** Time in which the target must answer a health check. */
const HEALTH_TIMEOUT_MS = 400;

/** Error codes of failed connections, on which no part of a request was written. */
const BEFORE_WRITE_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

const healthSchema = z.object({ isCold: z.boolean() });

const errorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

/** Sends requests to the target and posts its answers as events. */
export default class TargetPort {
  readonly #abortControllers = new Map<string, AbortController>();

  readonly #bodies = new Map<string, Readable>();

  /** Reuses connections; for calls without an idempotency key, which may be repeated. */
  readonly #pooledAgent = new Agent({ headersTimeout: 0, bodyTimeout: 0, pipelining: 1 });

  /**
   * Opens a connection for each call with an idempotency key, so that a failure to connect proves that
   * the target did not run the call. `pipelining: 0` disables keep-alive.
   */
  readonly #singleUseAgent = new Agent({ headersTimeout: 0, bodyTimeout: 0, pipelining: 0 });

  private constructor(
    private readonly targetUrl: string,
    private readonly post: (event: Event) => void,
  ) {}

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
    const controller = new AbortController();
    this.#abortControllers.set(callId, controller);
    this.#request(effect, controller.signal)
      .then((response) => this.#onResponse(callId, response))
      .catch((error: unknown) => this.#onError(callId, error));
  }

  /** Cancels a call; no further event is posted about it. */
  abort(callId: string): void {
    const controller = this.#abortControllers.get(callId);
    this.#removeCall(callId);
    controller?.abort();
  }

  /** Stops reading an answer until `resume`; has no effect before the head has arrived. */
  pause(callId: string): void {
    this.#bodies.get(callId)?.pause();
  }

  /** Continues reading an answer. */
  resume(callId: string): void {
    this.#bodies.get(callId)?.resume();
  }

  /** Posts the target's health; without a valid answer in time, the target counts as down and cold. */
  readHealth(): void {
    this.#pooledAgent
      .request({
        origin: this.targetUrl,
        path: '/health',
        method: 'GET',
        signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS),
      })
      .then(({ body }) => body.json())
      .then((json) => healthSchema.parse(json))
      .then(({ isCold }) => this.post({ kind: EventKind.TargetHealth, isUp: true, isCold }))
      .catch(() => this.post({ kind: EventKind.TargetHealth, isUp: false, isCold: true }));
  }

  /** Closes the connections; calls in progress fail. */
  async shutdown(): Promise<void> {
    await Promise.all([this.#pooledAgent.destroy(), this.#singleUseAgent.destroy()]);
  }

  #request(effect: CallTargetEffect, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const { request, requestId, idempotencyKey, deliveredCount, deliveredText } = effect;
    const agent = idempotencyKey === undefined ? this.#pooledAgent : this.#singleUseAgent;
    const body =
      deliveredCount === 0
        ? request.body
        : addResume(request.body, deliveredCount, deliveredText ?? '');
    return agent.request({
      origin: this.targetUrl,
      path: request.path,
      method: request.method,
      headers: {
        'x-request-id': requestId,
        ...(request.contentType === '' ? {} : { 'content-type': request.contentType }),
        ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
      },
      body: body === '' ? null : Buffer.from(body, 'latin1'),
      idempotent: false,
      signal,
    });
  }

  #onResponse(callId: string, { statusCode, headers, body }: Dispatcher.ResponseData): void {
    if (!this.#abortControllers.has(callId)) {
      body.destroy();
      return;
    }
    const contentType = String(headers['content-type'] ?? '');
    const splitter = createSplitter(contentType);
    this.#bodies.set(callId, body);
    this.post({ kind: EventKind.TargetHead, callId, status: statusCode, contentType });
    body.on('data', (bytes: Buffer) => {
      this.#postChunks(callId, splitter.push(bytes.toString('latin1')));
    });
    body.on('end', () => {
      this.#postChunks(callId, splitter.flush());
      this.#postLast(callId, { kind: EventKind.TargetEnd, callId });
    });
    body.on('error', (error) => this.#onError(callId, error));
  }

  #postChunks(callId: string, chunks: readonly string[]): void {
    chunks.forEach((data) => {
      if (this.#abortControllers.has(callId)) {
        this.post({ kind: EventKind.TargetChunk, callId, data });
      }
    });
  }

  #onError(callId: string, error: unknown): void {
    const isBeforeWrite = BEFORE_WRITE_CODES.includes(errorCodeOf(error));
    const stage = isBeforeWrite ? TargetErrorStage.BeforeWrite : TargetErrorStage.AfterWrite;
    this.#postLast(callId, {
      kind: EventKind.TargetError,
      callId,
      stage,
      detail: errorCodeOf(error),
    });
  }

  #postLast(callId: string, event: Event): void {
    if (this.#abortControllers.has(callId)) {
      this.#removeCall(callId);
      this.post(event);
    }
  }

  #removeCall(callId: string): void {
    this.#abortControllers.delete(callId);
    this.#bodies.delete(callId);
  }
}
