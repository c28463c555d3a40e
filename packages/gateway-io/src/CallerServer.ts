/** @module HTTP server that accepts callers' requests and writes the answers. */
import type { Socket } from 'node:net';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  EventKind,
  MAX_HEADER_BYTES,
  SMALL_ANSWER_BYTES,
  type SendAnswerEffect,
  type BeginAnswerEffect,
  type CallerLimits,
  type CallerRequest,
  type ContinueAnswerEffect,
  type Event,
} from '@ebonysill/gateway';
import {
  BodyReceiver,
  ByteBudget,
  CHECK_INTERVAL_MS,
  ConnectionLimit,
  RequestReader,
  DropCause,
  deriveCallerBounds,
  type CallerBounds,
} from '@ebonysill/http';
import CallerConnections from '@ebonysill/http/caller-connections';
import AnswerWriter from './AnswerWriter.js';
import { MALFORMED } from './caller-answers.js';
import holdAnswer from './holdAnswer.js';
import QuietClose from './QuietClose.js';
import RequestReceiver, { type CheckHead, type DecodeRequest } from './RequestReceiver.js';
import RunningRequests from './RunningRequests.js';

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
  readonly checkHead?: CheckHead;
  /** By default those of the smallest host. */
  readonly bounds?: CallerBounds;
  /** Time in which an unfinished body must make progress. */
  readonly bodyTimeoutMs?: number;
  /** Reads the connections; by default shared with no other server. */
  readonly reader?: RequestReader;
  /** Called for each body, answer or connection that is dropped. */
  readonly onDropped?: (cause: DropCause) => void;
}

/** IP address and port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Bytes of a stream that wait for a caller, from which on no more are read for it. */
const MAX_WAITING_BYTES = 65_536;

/** A caller is disconnected when more bytes wait for it, although no more are read. */
const MAX_BUFFERED_BYTES = 1_048_576;

/**
 * Keeps idle connections open longer than the configured limit. Closing at the limit itself could
 * coincide with the caller's next request.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** Node takes 0 for no limit at all. */
const MIN_HEADER_TIMEOUT_MS = 1;

/** Interval at which connections are checked for heads that take too long. */
const CONNECTION_CHECK_INTERVAL_MS = 250;

/** Bounds when no host is given: those of the smallest one. */
const SMALLEST_HOST = { memoryMb: 202, fileDescriptors: 2_069 };

const DEFAULT_BODY_TIMEOUT_MS = 10_000;

interface OpenExchange {
  readonly response: ServerResponse;
  /** Brings the bytes that wait for the caller up to date. */
  readonly refreshWaiting: () => void;
}

/** Posts callers' requests as events and writes the answers that the services decide on. */
export default class CallerServer {
  readonly #server: Server;

  readonly #openExchanges = new Map<number, OpenExchange>();

  /** Exchanges of which bytes of a stream wait for the caller. */
  readonly #behindIds = new Set<number>();

  readonly #connections = CallerConnections.create();

  readonly #backlogCount: number;

  readonly #budget: ByteBudget;

  readonly #writer: AnswerWriter;

  readonly #receiver: RequestReceiver;

  readonly #limit: ConnectionLimit;

  readonly #running = RunningRequests.create();

  readonly #quietClose: QuietClose;

  #nextExchangeId = 1;

  private constructor(private readonly options: CallerServerOptions) {
    const reader = options.reader ?? RequestReader.create();
    this.#server = createServer(
      {
        IncomingMessage: reader.createMessageClass(),
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
    reader.watch(this.#server);
    this.#quietClose = QuietClose.create(this.#server);
    const { bounds = deriveCallerBounds(SMALLEST_HOST), onDropped = () => undefined } = options;
    this.#backlogCount = bounds.maxBacklogCount;
    this.#budget = ByteBudget.create({ maxBytes: bounds.maxHeldBytes, onDropped });
    this.#writer = AnswerWriter.create(options.isClosing);
    this.#receiver = RequestReceiver.create({
      decode: options.decode,
      checkHead: options.checkHead,
      bodies: BodyReceiver.create({
        budget: this.#budget,
        timeoutMs: options.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
        onDropped,
      }),
      writer: this.#writer,
      accept: (request, response, decoded) =>
        this.#quietClose.acceptOrHold(() => this.#accept(request, response, decoded)),
    });
    this.#limit = ConnectionLimit.create({ maxCount: bounds.maxConnectionCount, onDropped });
    this.#limit.watch(this.#server);
    this.#server.on('clientError', (error, stream) => {
      const socket = stream as Socket;
      this.#running.refuseUnreadable(error, socket, this.#receiver.hasRefused(socket));
    });
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
      this.#server.listen({ host, port, backlog: this.#backlogCount }, () => {
        this.#server.off('error', reject);
        this.#server.on('error', this.options.onError);
        resolve();
      });
    });
  }

  /** Applies the configured body limit and timeouts. */
  applyLimits({ maxBodyBytes, headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#receiver.setMaxBodyBytes(maxBodyBytes);
    this.#server.headersTimeout = Math.max(MIN_HEADER_TIMEOUT_MS, headerTimeoutMs);
    this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Sends an answer whose body is complete, with its length. */
  sendAnswer(effect: SendAnswerEffect): void {
    const { exchangeId, body } = effect;
    const exchange = this.#openExchanges.get(exchangeId);
    if (exchange === undefined) {
      this.options.post({ kind: EventKind.AnswerTaken, exchangeId });
      return;
    }
    const { response, refreshWaiting } = exchange;
    if (body.reduce((sum, { length }) => sum + length, 0) >= SMALL_ANSWER_BYTES) {
      response.on('close', () => this.options.post({ kind: EventKind.AnswerTaken, exchangeId }));
    }
    this.#writer.writeWhole(response, effect);
    this.#openExchanges.delete(exchangeId);
    response.end();
    refreshWaiting();
  }

  /** Sends the head of an answer of unknown length. */
  beginAnswer({ exchangeId, status, headers }: BeginAnswerEffect): void {
    const response = this.#openExchanges.get(exchangeId)?.response;
    if (response !== undefined) {
      this.#writer.writeHead(response, status, headers);
    }
  }

  /** Sends body bytes; tells when more wait than the caller takes. */
  continueAnswer({ exchangeId, data }: ContinueAnswerEffect): void {
    const exchange = this.#openExchanges.get(exchangeId);
    if (exchange === undefined) {
      return;
    }
    const { response, refreshWaiting } = exchange;
    response.write(data);
    refreshWaiting();
    this.#checkWaiting(exchangeId, response);
    if (response.writableLength > MAX_BUFFERED_BYTES) {
      response.destroy();
    }
  }

  #checkWaiting(exchangeId: number, response: ServerResponse): void {
    if (this.#behindIds.has(exchangeId) || response.writableLength <= MAX_WAITING_BYTES) {
      return;
    }
    this.#behindIds.add(exchangeId);
    this.options.post({ kind: EventKind.CallerBehind, exchangeId });
    response.once('drain', () => {
      this.#behindIds.delete(exchangeId);
      this.options.post({ kind: EventKind.CallerCaughtUp, exchangeId });
    });
  }

  /** Ends an answer as complete. */
  endAnswer(exchangeId: number): void {
    this.#removeExchange(exchangeId)?.response.end();
  }

  /** Closes the connection, so that the caller cannot mistake the answer for a complete one. */
  abortAnswer(exchangeId: number): void {
    this.#removeExchange(exchangeId)?.response.destroy();
  }

  /** Disconnects callers that have taken no byte of a waiting answer for a time. */
  dropStalled(minStallMs: number): void {
    this.#budget.dropStalled(DropCause.AnswerStalled, minStallMs);
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
    this.#quietClose.begin(() => this.options.post({ kind: EventKind.CallersDisconnected }));
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

  #receive(request: IncomingMessage, response: ServerResponse, askForBody?: () => void): void {
    request.on('error', () => response.destroy());
    response.on('error', this.options.onError);
    if (this.#running.isBroken(request.socket)) {
      // The connection ends with the answer before; this request must not run.
      request.resume();
      return;
    }
    this.#connections.recordRequest(request, response);
    this.#receiver.receive(request, response, askForBody);
  }

  #accept(
    { socket }: IncomingMessage,
    response: ServerResponse,
    decoded: CallerRequest | undefined,
  ): void {
    if (decoded === undefined) {
      response.shouldKeepAlive = false;
      this.#writer.writeWhole(response, MALFORMED);
      response.end();
      return;
    }
    const exchangeId = this.#nextExchangeId;
    this.#nextExchangeId += 1;
    const refreshWaiting = holdAnswer(this.#budget, socket, response);
    this.#limit.recordRequest(socket);
    this.#openExchanges.set(exchangeId, { response, refreshWaiting });
    response.on('close', () => {
      this.#behindIds.delete(exchangeId);
      this.#limit.recordAnswer(socket);
      if (this.#openExchanges.delete(exchangeId)) {
        this.options.post({ kind: EventKind.CallerDisconnected, exchangeId });
      }
    });
    this.#running.add(socket, response);
    this.options.post({ kind: EventKind.RequestReceived, exchangeId, request: decoded });
  }
}
