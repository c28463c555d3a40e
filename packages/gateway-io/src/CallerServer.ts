/** @module HTTP server that accepts callers' requests and writes the answers. */
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
import CallerConnections from '@ebonysill/http/caller-connections';

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

const STATUS_TOO_LARGE = 413;

const MS_PER_SECOND = 1_000;

interface OpenExchange {
  readonly response: ServerResponse;
}

/** Posts callers' requests as events and writes the answers that the services decide on. */
export default class CallerServer {
  readonly #server: Server;

  readonly #openExchanges = new Map<number, OpenExchange>();

  readonly #connections = CallerConnections.create();

  #nextExchangeId = 1;

  #acceptedCount = 0;

  /** Requests received while the listener closes; undefined at other times. */
  #heldRequests: (() => void)[] | undefined;

  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

  private constructor(private readonly options: CallerServerOptions) {
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      },
      (request, response) => this.#receive(request, response),
    );
    this.#server.requestTimeout = 0;
    this.#server.on('connection', (socket) => {
      this.#acceptedCount += 1;
      this.#connections.add(socket);
    });
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
    const response = this.#removeExchange(effect.exchangeId);
    if (response === undefined) {
      return;
    }
    const body = Buffer.concat(effect.body);
    const length: HeaderField = { name: 'content-length', value: String(body.length) };
    this.#writeHead(response, effect.status, [
      ...effect.headers,
      length,
      ...CallerServer.#retryAfter(effect.retryAfterMs),
    ]);
    response.end(body);
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
    const response = this.#openExchanges.get(exchangeId)?.response;
    if (response === undefined) {
      return;
    }
    response.write(data);
    if (response.writableLength > MAX_BUFFERED_BYTES) {
      response.destroy();
    }
  }

  /** Ends an answer as complete. */
  endAnswer(exchangeId: number): void {
    this.#removeExchange(exchangeId)?.end();
  }

  /** Closes the connection, so that the caller cannot mistake the answer for a complete one. */
  abortAnswer(exchangeId: number): void {
    this.#removeExchange(exchangeId)?.destroy();
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

  #removeExchange(exchangeId: number): ServerResponse | undefined {
    const exchange = this.#openExchanges.get(exchangeId);
    this.#openExchanges.delete(exchangeId);
    return exchange?.response;
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    this.#connections.recordRequest(request, response);
    request.on('error', () => response.destroy());
    response.on('error', this.options.onError);
    if (Number(request.headers['content-length'] ?? 0) > this.#maxBodyBytes) {
      CallerServer.#rejectBody(request, response);
      return;
    }
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= this.#maxBodyBytes) {
        chunks.push(chunk);
      } else if (!response.headersSent) {
        chunks.length = 0;
        CallerServer.#rejectBody(request, response);
      }
    });
    request.on('end', () => {
      if (!response.headersSent) {
        const accept = (): void => this.#accept(request, response, Buffer.concat(chunks));
        if (this.#heldRequests === undefined) {
          accept();
        } else {
          this.#heldRequests.push(accept);
        }
      }
    });
  }

  /** Answers at once; the connection closes after the rest of the body, or after a while. */
  static #rejectBody(request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(STATUS_TOO_LARGE, { 'content-length': '0', connection: 'close' });
    response.flushHeaders();
    const timer = setTimeout(() => response.end(), REFUSED_BODY_MS);
    request.on('end', () => response.end());
    response.on('close', () => clearTimeout(timer));
    request.resume();
  }

  #accept(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const decoded = this.options.decode({
      method: request.method ?? '',
      url: request.url ?? '',
      rawHeaders: request.rawHeaders,
      body,
    });
    if (decoded === undefined) {
      CallerServer.#reject(response, 400);
      return;
    }
    const exchangeId = this.#nextExchangeId;
    this.#nextExchangeId += 1;
    this.#openExchanges.set(exchangeId, { response });
    response.on('close', () => {
      if (this.#openExchanges.delete(exchangeId)) {
        this.options.post({ kind: EventKind.CallerDisconnected, exchangeId });
      }
    });
    this.options.post({ kind: EventKind.RequestReceived, exchangeId, request: decoded });
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

  static #reject(response: ServerResponse, status: number): void {
    response.writeHead(status, { 'content-length': '0', connection: 'close' });
    response.end();
  }
}
