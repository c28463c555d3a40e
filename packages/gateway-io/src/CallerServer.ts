/** @module HTTP server that accepts callers' requests and writes the answers. */
import type { Socket } from 'node:net';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  EventKind,
  type SendAnswerEffect,
  type BeginAnswerEffect,
  type CallerLimits,
  type CallerRequest,
  type ContinueAnswerEffect,
  type Event,
  type HeaderField,
} from '@ebonysill/gateway';
import {
  BodyReceiver,
  ByteBudget,
  CHECK_INTERVAL_MS,
  ConnectionLimit,
  DropCause,
  ReadTurns,
  spreadConnections,
  type Holding,
} from '@ebonysill/http';
import CallerConnections from '@ebonysill/http/caller-connections';
import { MALFORMED, refusalOf, type RefusalAnswer } from './caller-answers.js';
import { deriveCallerBounds, type CallerBounds } from './derive-caller-bounds.js';

/** Request line, header fields and body of a request, before decoding. */
export interface EncodedRequest {
  readonly method: string;
  readonly url: string;
  /** Alternating names and values, as in `IncomingMessage.rawHeaders`. */
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
}

/** Decodes a request; returns undefined when it is malformed. */
export type DecodeRequest = (request: EncodedRequest) => CallerRequest | undefined;

/** Options of a caller server. */
export interface CallerServerOptions {
  readonly decode: DecodeRequest;
  readonly post: (event: Event) => void;
  /** Whether answers ask callers to close their connection; true while the process drains. */
  readonly isClosing: () => boolean;
  readonly onError: (error: unknown) => void;
  /**
   * Checks a decoded request with a body before the body is received; returns the answer to one that
   * is refused. Every request goes on by default.
   */
  readonly checkHead?: (request: CallerRequest) => RefusalAnswer | undefined;
  /** By default those of the smallest host. */
  readonly bounds?: CallerBounds;
  /** Time in which an unfinished body must make progress. */
  readonly bodyTimeoutMs?: number;
  /** Called for each body, answer or connection that is dropped. */
  readonly onDropped?: (cause: DropCause) => void;
}

/** IP address and port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Fixed when the server is created; the configured limit is expected to be no higher. */
const MAX_HEADER_BYTES = 16_384;

/** Applies until a configuration sets the limit. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** A caller that does not read its answer is disconnected when more bytes are buffered for it. */
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Keeps idle connections open longer than the configured limit. Closing at the limit itself could
 * coincide with the caller's next request.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Time within which the listener closes, however many connections arrive. */
const MAX_CLOSE_DELAY_MS = 350;

/** Connections hardly arrive within a turn of the event loop that is shorter. */
const MAX_QUIET_TURN_MS = 0.3;

/** Node takes 0 for no limit at all. */
const MIN_HEADER_TIMEOUT_MS = 1;

/** Length of the queue of connections that are not accepted yet. */
const BACKLOG = 1_024;

/** Interval at which connections are checked for heads that take too long. */
const CONNECTION_CHECK_INTERVAL_MS = 250;

/**
 * Time for which the rest of a refused body is read and dropped. Closing earlier would reset the
 * connection, and the caller might lose the answer.
 */
const REFUSED_BODY_MS = 1_000;

/**
 * Time for which a refusal waits for the rest of a body, most of which arrive with their head. The
 * connection can be used again then.
 */
const REFUSAL_DELAY_MS = 20;

/** Bounds when no host is given: those of the smallest one. */
const SMALLEST_HOST = { memoryMb: 202, fileDescriptors: 2_069 };

const DEFAULT_BODY_TIMEOUT_MS = 10_000;

/** Time for which an answer may wait without being read while it is not complete. */
const ANSWER_TIMEOUT_MS = 30_000;

const EMPTY_BODY = new Uint8Array(0);

/** Answers to errors of the parser by their code; other errors are malformed requests. */
const STATUS_LINE_OF: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};

const BAD_REQUEST_LINE = '400 Bad Request';

const MS_PER_SECOND = 1_000;

interface OpenExchange {
  readonly response: ServerResponse;
  /** Brings the bytes that wait for the caller up to date. */
  readonly refreshWaiting: () => void;
}

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Posts callers' requests as events and writes the answers that the services decide on. */
export default class CallerServer {
  readonly #server: Server;

  readonly #openExchanges = new Map<number, OpenExchange>();

  readonly #connections = CallerConnections.create();

  readonly #budget: ByteBudget;

  readonly #bodies: BodyReceiver;

  readonly #limit: ConnectionLimit;

  /** By connection: the responses to complete requests, in the order of the requests. */
  readonly #running = new WeakMap<Socket, Set<ServerResponse>>();

  /** Connections on which a request was answered before it was complete. */
  readonly #refusedSockets = new WeakSet<Socket>();

  /** Connections whose further bytes cannot be read as requests. */
  readonly #brokenSockets = new WeakSet<Socket>();

  #nextExchangeId = 1;

  #acceptedCount = 0;

  /** Requests received while the listener closes; undefined at other times. */
  #heldRequests: (() => void)[] | undefined;

  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

  private constructor(private readonly options: CallerServerOptions) {
    const turns = ReadTurns.create();
    this.#server = createServer(
      {
        IncomingMessage: turns.createMessageClass(),
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      },
      (request, response) => this.#receive(request, response),
    );
    // Without this, Node writes `100 Continue` before the head is checked.
    this.#server.on('checkContinue', (request, response) =>
      this.#receive(request, response, () => response.writeContinue()),
    );
    this.#server.requestTimeout = 0;
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    turns.watch(this.#server);
    spreadConnections(this.#server);
    this.#server.on('connection', () => {
      this.#acceptedCount += 1;
    });
    const { bounds = deriveCallerBounds(SMALLEST_HOST), onDropped = () => undefined } = options;
    this.#budget = ByteBudget.create({ maxBytes: bounds.maxHeldBytes, onDropped });
    this.#bodies = BodyReceiver.create({
      budget: this.#budget,
      timeoutMs: options.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
      onDropped,
    });
    this.#limit = ConnectionLimit.create({ maxCount: bounds.maxConnectionCount, onDropped });
    this.#limit.watch(this.#server);
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#onClientError(error, socket as Socket),
    );
    setInterval(() => {
      this.#budget.check();
      this.#limit.check();
    }, CHECK_INTERVAL_MS).unref();
    // Node closes idle connections by itself when the listener closes, and by its own notion of idle.
    this.#server.closeIdleConnections = () => this.#connections.closeIdle();
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @example
   * await CallerServer.create(options).listen({ host: '10.1.0.40', port: 8227 });
   */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Accepts connections from now on; rejects when the address cannot be bound. */
  async listen({ host, port }: ListenAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: BACKLOG }, () => {
        this.#server.off('error', reject);
        this.#server.on('error', this.options.onError);
        resolve();
      });
    });
  }

  /** Applies the configured body limit and timeouts. */
  applyLimits({ maxBodyBytes, headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#maxBodyBytes = maxBodyBytes;
    this.#server.headersTimeout = Math.max(MIN_HEADER_TIMEOUT_MS, headerTimeoutMs);
    this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Sends an answer whose body is complete, with its length. */
  sendAnswer(effect: SendAnswerEffect): void {
    const exchange = this.#removeExchange(effect.exchangeId);
    if (exchange !== undefined) {
      this.#writeWhole(exchange.response, effect);
      exchange.response.end();
      exchange.refreshWaiting();
    }
  }

  /** Sends the head of an answer of unknown length. */
  beginAnswer({ exchangeId, status, headers }: BeginAnswerEffect): void {
    const response = this.#openExchanges.get(exchangeId)?.response;
    if (response !== undefined) {
      this.#writeHead(response, status, headers);
    }
  }

  /** Sends body bytes; disconnects a caller that does not read them. */
  continueAnswer({ exchangeId, data }: ContinueAnswerEffect): void {
    const exchange = this.#openExchanges.get(exchangeId);
    if (exchange === undefined) {
      return;
    }
    const { response, refreshWaiting } = exchange;
    response.write(data);
    refreshWaiting();
    if (response.writableLength > MAX_BUFFERED_BYTES) {
      response.destroy();
    }
  }

  /** Ends an answer as complete. */
  endAnswer(exchangeId: number): void {
    this.#removeExchange(exchangeId)?.response.end();
  }

  /** Closes the connection, so that the caller cannot mistake the answer for a complete one. */
  abortAnswer(exchangeId: number): void {
    this.#removeExchange(exchangeId)?.response.destroy();
  }

  /** Closes connections on which no request is in progress and whose last answer was taken. */
  closeIdle(): void {
    this.#connections.closeIdle();
  }

  /**
   * Refuses new connections and closes idle ones; requests in progress are still answered. Requests
   * that arrive before the listener is closed wait for that, so that callers who repeat at once
   * open no further connections meanwhile.
   */
  stopAccepting(): void {
    this.#heldRequests = [];
    this.#closeAfterQuietTurn(performance.now() + MAX_CLOSE_DELAY_MS);
  }

  /**
   * Closes the listener at the end of a short turn of the event loop in which no connection arrived:
   * those that wait to be accepted when it closes are reset.
   */
  #closeAfterQuietTurn(latestAtMs: number): void {
    const acceptedCount = this.#acceptedCount;
    const startedAtMs = performance.now();
    setImmediate(() => {
      const nowMs = performance.now();
      const isQuiet =
        this.#acceptedCount === acceptedCount && nowMs - startedAtMs < MAX_QUIET_TURN_MS;
      if (isQuiet || nowMs > latestAtMs) {
        this.#server.close(() => this.options.post({ kind: EventKind.CallersDisconnected }));
        this.#releaseHeld();
      } else {
        this.#closeAfterQuietTurn(latestAtMs);
      }
    });
  }

  #releaseHeld(): void {
    const held = this.#heldRequests ?? [];
    this.#heldRequests = undefined;
    held.forEach((accept) => accept());
  }

  /** Refuses new connections and closes all open ones. */
  close(): void {
    this.stopAccepting();
    this.#server.closeAllConnections();
  }

  #removeExchange(exchangeId: number): OpenExchange | undefined {
    const exchange = this.#openExchanges.get(exchangeId);
    this.#openExchanges.delete(exchangeId);
    return exchange;
  }

  /** `askForBody` is given when the caller sends the body only after `100 Continue`. */
  #receive(request: IncomingMessage, response: ServerResponse, askForBody?: () => void): void {
    request.on('error', () => response.destroy());
    response.on('error', this.options.onError);
    if (this.#brokenSockets.has(request.socket)) {
      // The connection ends with the answer before; this request must not run.
      request.resume();
      return;
    }
    this.#connections.recordRequest(request, response);
    if (!hasBody(request)) {
      request.resume();
      request.on('end', () => this.#acceptOrHold(request, response, this.#decode(request)));
      return;
    }
    this.#receiveBody(request, response, askForBody);
  }

  /** Decides what can be decided from the head, and reads the body of what is left. */
  #receiveBody(request: IncomingMessage, response: ServerResponse, askForBody?: () => void): void {
    const decoded = this.#decode(request);
    const refusal = decoded === undefined ? MALFORMED : this.options.checkHead?.(decoded);
    if (decoded === undefined || refusal !== undefined) {
      this.#refuseHead(request, response, refusal ?? MALFORMED, askForBody !== undefined);
      return;
    }
    this.#bodies.receive({
      request,
      response,
      maxBytes: this.#maxBodyBytes,
      onHeadAccepted: askForBody,
      onComplete: (body) => this.#acceptOrHold(request, response, { ...decoded, body }),
      onRefused: (cause) => this.#refuse(request, response, refusalOf(cause)),
    });
  }

  /** A caller that waits for `100 Continue` is answered at once: its body will not come. */
  #refuseHead(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: RefusalAnswer,
    isBodyHeldBack: boolean,
  ): void {
    if (isBodyHeldBack) {
      this.#refuse(request, response, refusal);
    } else {
      this.#refuseAfterBody(request, response, refusal);
    }
  }

  /** Answers once the rest of the body has come, or after a short time. */
  #refuseAfterBody(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: RefusalAnswer,
  ): void {
    const timer = setTimeout(() => this.#refuse(request, response, refusal), REFUSAL_DELAY_MS);
    response.on('close', () => clearTimeout(timer));
    request.on('end', () => {
      clearTimeout(timer);
      if (!response.headersSent) {
        this.#writeWhole(response, refusal);
        response.end();
      }
    });
    BodyReceiver.drop(request, () => this.#refuse(request, response, refusal));
  }

  /** Answers at once; the connection closes after the rest of the body, or after a while. */
  #refuse(request: IncomingMessage, response: ServerResponse, refusal: RefusalAnswer): void {
    if (response.headersSent || response.destroyed) {
      return;
    }
    this.#refusedSockets.add(request.socket);
    response.shouldKeepAlive = false;
    this.#writeWhole(response, refusal);
    const timer = setTimeout(() => response.end(), REFUSED_BODY_MS);
    request.on('end', () => response.end());
    response.on('close', () => clearTimeout(timer));
    BodyReceiver.drop(request, () => {
      response.end();
    });
  }

  #decode(request: IncomingMessage): CallerRequest | undefined {
    return this.options.decode({
      method: request.method ?? '',
      url: request.url ?? '',
      rawHeaders: request.rawHeaders,
      body: EMPTY_BODY,
    });
  }

  #acceptOrHold(
    request: IncomingMessage,
    response: ServerResponse,
    decoded: CallerRequest | undefined,
  ): void {
    const accept = (): void => this.#accept(request, response, decoded);
    if (this.#heldRequests === undefined) {
      accept();
    } else {
      this.#heldRequests.push(accept);
    }
  }

  #accept(
    { socket }: IncomingMessage,
    response: ServerResponse,
    decoded: CallerRequest | undefined,
  ): void {
    if (decoded === undefined) {
      response.shouldKeepAlive = false;
      this.#writeWhole(response, MALFORMED);
      response.end();
      return;
    }
    const exchangeId = this.#nextExchangeId;
    this.#nextExchangeId += 1;
    const waiting = this.#holdAnswer(socket, response);
    const running = this.#running.get(socket) ?? new Set();
    this.#running.set(socket, running.add(response));
    this.#limit.recordRequest(socket);
    this.#openExchanges.set(exchangeId, { response, refreshWaiting: waiting });
    response.on('close', () => {
      running.delete(response);
      this.#limit.recordAnswer(socket);
      if (this.#openExchanges.delete(exchangeId)) {
        this.options.post({ kind: EventKind.CallerDisconnected, exchangeId });
      }
      if (running.size === 0 && this.#brokenSockets.has(socket)) {
        socket.destroySoon();
      }
    });
    this.options.post({ kind: EventKind.RequestReceived, exchangeId, request: decoded });
  }

  /** Counts the bytes of an answer that wait for the caller; returns how to count them again. */
  #holdAnswer(socket: Socket, response: ServerResponse): () => void {
    let takenBytes = 0;
    const refresh = (holding: Holding): void => {
      const takenNowBytes = socket.bytesWritten - socket.writableLength;
      if (takenNowBytes > takenBytes || response.writableLength === 0) {
        takenBytes = takenNowBytes;
        holding.recordProgress();
      }
      holding.setSize(response.writableLength);
    };
    const holding = this.#budget.open({
      stallTimeoutMs: ANSWER_TIMEOUT_MS,
      stallCause: DropCause.AnswerStalled,
      drop: () => response.destroy(),
      refresh: () => refresh(holding),
    });
    response.on('close', () => holding.release());
    return () => refresh(holding);
  }

  /**
   * Answers what cannot be read as a request. While an earlier request of the connection runs, its
   * answer comes first and ends the connection.
   */
  #onClientError({ code = '' }: NodeJS.ErrnoException, socket: Socket): void {
    const last = [...(this.#running.get(socket) ?? [])].at(-1);
    if (last !== undefined && !socket.destroyed) {
      this.#brokenSockets.add(socket);
      last.shouldKeepAlive = false;
      return;
    }
    const isAnswered = this.#refusedSockets.has(socket);
    if (socket.writable && !isAnswered) {
      const statusLine = STATUS_LINE_OF[code] ?? BAD_REQUEST_LINE;
      socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroy();
  }

  /** Writes a complete answer without ending it. */
  #writeWhole(response: ServerResponse, answer: RefusalAnswer): void {
    const body = Buffer.concat(answer.body);
    const length: HeaderField = { name: 'content-length', value: String(body.length) };
    this.#writeHead(response, answer.status, [
      ...answer.headers,
      length,
      ...CallerServer.#retryAfter(answer.retryAfterMs),
    ]);
    if (body.length > 0) {
      response.write(body);
    } else {
      response.flushHeaders();
    }
  }

  #writeHead(response: ServerResponse, status: number, headers: readonly HeaderField[]): void {
    if (this.options.isClosing()) {
      response.shouldKeepAlive = false;
    }
    response.writeHead(
      status,
      headers.flatMap(({ name, value }) => [name, value]),
    );
  }

  static #retryAfter(retryAfterMs: number | undefined): readonly HeaderField[] {
    return retryAfterMs === undefined
      ? []
      : [{ name: 'retry-after', value: String(retryAfterMs / MS_PER_SECOND) }];
  }
}
