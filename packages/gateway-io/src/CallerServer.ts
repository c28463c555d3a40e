/** @module The HTTP server for callers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  EventKind,
  type AnswerWholeEffect,
  type BeginAnswerEffect,
  type CallerLimits,
  type CallerRequest,
  type ContinueAnswerEffect,
  type Event,
  type HeaderField,
} from '@ebonysill/gateway';

/** A request line with its header fields and its body, still encoded. */
export interface EncodedRequest {
  readonly method: string;
  readonly url: string;
  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
}

/** Decodes a request; undefined when it is malformed. */
export type DecodeRequest = (request: EncodedRequest) => CallerRequest | undefined;

/** What a server is created from. */
export interface CallerServerOptions {
  readonly decode: DecodeRequest;
  readonly post: (event: Event) => void;
  /** Whether callers are told to close their connection. */
  readonly isClosing: () => boolean;
  readonly onError: (error: unknown) => void;
}

/** IP address and port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Header bytes read at most; the configured bound is the same or lower. */
const MAX_HEADER_BYTES = 16_384;

/** Body bytes read before a configuration tells the bound. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Bytes that may wait for a caller that does not read; more closes its connection. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Answers later than the idle limit cross the caller's next request; this keeps the socket open. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** New connections that wait to be accepted. */
const BACKLOG = 1_024;

const MS_PER_SECOND = 1_000;

interface OpenExchange {
  readonly response: ServerResponse;
}

/** Serves callers. */
export default class CallerServer {
  readonly #server: Server;

  readonly #openExchanges = new Map<number, OpenExchange>();

  #nextExchangeId = 1;

  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

  private constructor(private readonly options: CallerServerOptions) {
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) =>
      this.#receive(request, response),
    );
    this.#server.requestTimeout = 0;
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

  /** Begins to accept connections. */
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

  /** Puts the operators' bounds into force. */
  applyLimits({ maxBodyBytes, headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#maxBodyBytes = maxBodyBytes;
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
  }

  /** Sends a whole answer. */
  answerWhole(effect: AnswerWholeEffect): void {
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

  /** Sends bytes; a caller that does not read loses its connection. */
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

  /** Closes the connection, so that the answer cannot look complete. */
  abortAnswer(exchangeId: number): void {
    this.#removeExchange(exchangeId)?.destroy();
  }

  /** Closes connections on which no request is in progress. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  #removeExchange(exchangeId: number): ServerResponse | undefined {
    const open = this.#openExchanges.get(exchangeId);
    this.#openExchanges.delete(exchangeId);
    return open?.response;
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= this.#maxBodyBytes) {
        chunks.push(chunk);
      }
    });
    request.on('error', () => response.destroy());
    response.on('error', this.options.onError);
    request.on('end', () => {
      if (sizeBytes > this.#maxBodyBytes) {
        CallerServer.#reject(response, 413);
      } else {
        this.#accept(request, response, Buffer.concat(chunks));
      }
    });
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
        this.options.post({ kind: EventKind.CallerGone, exchangeId });
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
