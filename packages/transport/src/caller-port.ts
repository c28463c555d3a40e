/** @module HTTP front end for callers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import {
  EffectKind,
  EventKind,
  Outcome,
  Reason,
  notRun,
  type AnswerChunkEffect,
  type AnswerEndEffect,
  type AnswerHeadEffect,
  type AnswerKeyEffect,
  type AnswerProblemEffect,
  type Event,
  type Problem,
} from '@ebonysill/core';
import {
  BodyReceiver,
  ByteBudget,
  CHECK_INTERVAL_MS,
  ConnectionLimit,
  DropCause,
  RequestReader,
  deriveCallerBounds,
  type CallerBounds,
} from '@ebonysill/http';
import CallerConnections from '@ebonysill/http/caller-connections';
import { checkCallerHead, decodeCallerRequest, isProblem } from './caller-request.js';
import type { RecordDrop } from './DropCounters.js';
import { statusOf } from './problem-status.js';

const MAX_BODY_BYTES = 1_048_576;

const MAX_HEADER_BYTES = 16_384;

/** Time in which a caller must send its whole request. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Time for which a stop waits for callers that still receive their answers. */
const MAX_FLUSH_MS = 5_000;

/** Time for which the rest of a refused body is read and dropped. */
const REFUSED_BODY_MS = 1_000;

/** Time in which an unfinished body must make progress. */
const BODY_TIMEOUT_MS = 10_000;

const PROBLEM_TYPE = 'application/problem+json';

const EVENT_STREAM = 'text/event-stream';

/** Receiver of events, and pages that the process itself serves. */
export interface CallerPortOptions {
  readonly post: (event: Event) => void;
  /** Page for a GET request, such as `/readyz`; undefined if the request goes to a service. */
  readonly readPage: (path: string) => Page | undefined;
  /** By default those of a host with 256 MB. */
  readonly bounds?: CallerBounds;
  /** Time in which an unfinished body must make progress. */
  readonly bodyTimeoutMs?: number;
  /** Called for each body or connection that is dropped. */
  readonly onDropped?: RecordDrop;
}

/** A page that the process itself serves. */
export interface Page {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

type AnswerEffect =
  AnswerHeadEffect | AnswerChunkEffect | AnswerEndEffect | AnswerKeyEffect | AnswerProblemEffect;

const problemOf = (cause: DropCause): Problem => {
  switch (cause) {
    case DropCause.TooLarge:
      return notRun(Reason.TooLarge, `the body is longer than ${MAX_BODY_BYTES} bytes`);
    case DropCause.BodyStalled:
      return notRun(Reason.MalformedRequest, 'the body made no progress in time');
    default:
      return notRun(Reason.Overloaded, 'there is no room for the body');
  }
};

/** Bounds when no host is given. */
const DEFAULT_HOST = { memoryMb: 256, fileDescriptors: 8_192 };

const problemBody = (problem: Problem, requestId: string): string =>
  JSON.stringify({
    type: `urn:ebonysill:${problem.reason}`,
    title: problem.reason,
    status: statusOf(problem),
    detail: problem.detail,
    outcome: problem.outcome,
    reason: problem.reason,
    requestId,
  });

/** Posts requests of callers as events, and writes answers from effects. */
export class CallerPort {
  readonly #responses = new Map<string, ServerResponse>();

  readonly #server: Server;

  readonly #connections = CallerConnections.create();

  readonly #bodies: BodyReceiver;

  readonly #limit: ConnectionLimit;

  readonly #backlogCount: number;

  #exchangeCount = 0;

  private constructor(private readonly options: CallerPortOptions) {
    const {
      bounds = deriveCallerBounds(DEFAULT_HOST),
      bodyTimeoutMs = BODY_TIMEOUT_MS,
      onDropped = () => undefined,
    } = options;
    const { maxHeldBytes, maxConnectionCount, maxUnreadBytes } = bounds;
    this.#backlogCount = bounds.maxBacklogCount;
    const reader = RequestReader.create({ maxUnreadBytes, onDropped });
    this.#server = createServer(
      {
        IncomingMessage: reader.createMessageClass(),
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: REQUEST_TIMEOUT_MS,
      },
      (request, response) => this.#onRequest(request, response),
    );
    reader.watch(this.#server);
    // Without this, Node writes `100 Continue` before the head is checked.
    this.#server.on('checkContinue', (request, response) =>
      this.#onRequest(request, response, () => response.writeContinue()),
    );
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    const budget = ByteBudget.create({ maxBytes: maxHeldBytes, onDropped });
    this.#limit = ConnectionLimit.create({ maxCount: maxConnectionCount, onDropped });
    this.#bodies = BodyReceiver.create({ budget, timeoutMs: bodyTimeoutMs, onDropped });
    this.#limit.watch(this.#server);
    setInterval(() => {
      budget.check();
      this.#limit.check();
    }, CHECK_INTERVAL_MS).unref();
    // Node closes idle connections by itself when the listener closes, and by its own notion of idle.
    this.#server.closeIdleConnections = () => this.#connections.closeIdle();
  }

  /**
   * Creates the front end, not yet listening.
   *
   * @example
   * const callers = CallerPort.create({ post, readPage });
   */
  static create(options: CallerPortOptions): CallerPort {
    return new CallerPort(options);
  }

  /** Starts listening; resolves with the port in use, which the system chooses for port 0. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ port, host, backlog: this.#backlogCount }, () => {
        this.#server.off('error', reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops accepting connections; requests in progress continue. */
  stopAccepting(): void {
    this.#server.close();
  }

  /** Resolves once callers have taken their answers, or after a bounded time. */
  async flush(): Promise<void> {
    await Promise.race([this.#connections.flush(), delay(MAX_FLUSH_MS, undefined, { ref: false })]);
  }

  /** Closes all connections, including those with a request in progress. */
  shutdown(): void {
    this.#server.closeAllConnections();
  }

  /** Writes one part of an answer; ignored if the caller has disconnected. */
  perform(effect: AnswerEffect): void {
    const response = this.#responses.get(effect.exchangeId);
    if (response === undefined) {
      return;
    }
    switch (effect.kind) {
      case EffectKind.AnswerHead:
        CallerPort.#writeHead(response, effect);
        return;
      case EffectKind.AnswerChunk:
        this.#writeChunk(response, effect);
        return;
      case EffectKind.AnswerEnd:
        this.#responses.delete(effect.exchangeId);
        response.end();
        return;
      case EffectKind.AnswerKey:
        this.#responses.delete(effect.exchangeId);
        CallerPort.#writeKey(response, effect);
        return;
      case EffectKind.AnswerProblem:
        this.#responses.delete(effect.exchangeId);
        CallerPort.#writeProblem(response, effect.problem, effect.requestId);
        return;
      default:
        effect satisfies never;
    }
  }

  static #writeHead(response: ServerResponse, effect: AnswerHeadEffect): void {
    // Set apart from the others: fields that only writeHead gets cannot be read back later.
    response.setHeader('content-type', effect.contentType);
    response.writeHead(effect.status, {
      'ebonysill-request-id': effect.requestId,
      'ebonysill-outcome': Outcome.Done,
    });
    response.flushHeaders();
  }

  #writeChunk(response: ServerResponse, { exchangeId, data }: AnswerChunkEffect): void {
    response.write(data, 'latin1', (error) => {
      if (error === undefined || error === null) {
        this.options.post({ kind: EventKind.CallerFlushed, exchangeId, chunkCount: 1 });
      }
    });
  }

  static #writeKey(response: ServerResponse, effect: AnswerKeyEffect): void {
    response.writeHead(201, {
      'content-type': 'application/json',
      'ebonysill-request-id': effect.requestId,
      'ebonysill-outcome': Outcome.Done,
    });
    response.end(JSON.stringify({ idempotencyKey: effect.idempotencyKey }));
  }

  /**
   * Before the head, answers with a problem document. After it, closes the connection without ending
   * the answer, so that the caller sees that it is incomplete; an event stream gets an `error` event
   * with the problem first.
   */
  static #writeProblem(response: ServerResponse, problem: Problem, requestId: string): void {
    const body = problemBody(problem, requestId);
    if (!response.headersSent) {
      response.writeHead(statusOf(problem), {
        'content-type': PROBLEM_TYPE,
        'ebonysill-request-id': requestId,
        'ebonysill-outcome': problem.outcome,
      });
      response.end(body);
      return;
    }
    if (response.getHeader('content-type') === EVENT_STREAM) {
      response.write(`event: error\ndata: ${body}\n\n`, () => response.destroy());
      return;
    }
    response.destroy();
  }

  /** `askForBody` is given when the caller sends the body only after `100 Continue`. */
  #onRequest(request: IncomingMessage, response: ServerResponse, askForBody?: () => void): void {
    this.#connections.recordRequest(request, response);
    const page = request.method === 'GET' ? this.options.readPage(request.url ?? '') : undefined;
    if (page !== undefined) {
      response.writeHead(page.status, { 'content-type': page.contentType });
      response.end(page.body);
      return;
    }
    const problem = askForBody === undefined ? undefined : checkCallerHead(request);
    if (problem === undefined) {
      this.#readBody(request, response, askForBody);
    } else {
      this.#refuse(request, response, problem);
    }
  }

  #readBody(request: IncomingMessage, response: ServerResponse, askForBody?: () => void): void {
    this.#bodies.receive({
      request,
      response,
      maxBytes: MAX_BODY_BYTES,
      onHeadAccepted: askForBody,
      onComplete: (body) => this.#dispatch(request, response, body.toString('latin1')),
      onRefused: (cause) => this.#refuse(request, response, problemOf(cause)),
    });
  }

  /** Answers at once; the connection closes after the rest of the body, or after a while. */
  #refuse(request: IncomingMessage, response: ServerResponse, problem: Problem): void {
    if (response.headersSent || response.destroyed) {
      return;
    }
    response.setHeader('connection', 'close');
    CallerPort.#writeProblem(response, problem, '');
    const timer = setTimeout(() => request.socket.destroySoon(), REFUSED_BODY_MS);
    request.socket.once('close', () => clearTimeout(timer));
    this.#bodies.drop(request, () => request.socket.destroySoon());
  }

  #dispatch(request: IncomingMessage, response: ServerResponse, body: string): void {
    const { socket } = request;
    this.#limit.recordRequest(socket);
    response.once('close', () => this.#limit.recordAnswer(socket));
    this.#exchangeCount += 1;
    const exchangeId = `exchange-${this.#exchangeCount}`;
    const decoded = decodeCallerRequest(exchangeId, request, body);
    if (isProblem(decoded)) {
      CallerPort.#writeProblem(response, decoded, exchangeId);
      return;
    }
    this.#responses.set(exchangeId, response);
    response.once('close', () => this.#onClose(exchangeId));
    this.options.post(decoded);
  }

  #onClose(exchangeId: string): void {
    if (this.#responses.delete(exchangeId)) {
      this.options.post({ kind: EventKind.CallerDisconnected, exchangeId });
    }
  }
}
