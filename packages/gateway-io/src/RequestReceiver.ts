/** @module Receives requests: decides what can be decided from the head, then reads the body. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerRequest } from '@ebonysill/gateway';
import { hasBody, type BodyReceiver } from '@ebonysill/http';
import type AnswerWriter from './AnswerWriter.js';
import { MALFORMED, refusalOf, type RefusalAnswer } from './caller-answers.js';

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

/** Returns the answer to a request that is refused by its head. */
export type CheckHead = (request: CallerRequest) => RefusalAnswer | undefined;

/** Takes over a complete request, which is undefined when it is malformed. */
export type AcceptRequest = (
  request: IncomingMessage,
  response: ServerResponse,
  decoded: CallerRequest | undefined,
) => void;

/** Options of a receiver. */
export interface RequestReceiverOptions {
  readonly decode: DecodeRequest;
  readonly checkHead?: CheckHead | undefined;
  readonly bodies: BodyReceiver;
  readonly writer: AnswerWriter;
  readonly accept: AcceptRequest;
}

/** Applies until a configuration sets the limit. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

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

const EMPTY_BODY = new Uint8Array(0);

/** Receives the requests of a server; answers those that are refused before they are complete. */
export default class RequestReceiver {
  /** Connections on which a request was answered before it was complete. */
  readonly #refusedSockets = new WeakSet<Socket>();

  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

  private constructor(private readonly options: RequestReceiverOptions) {}

  /**
   * Creates a receiver.
   *
   * @example
   * const receiver = RequestReceiver.create({ decode, bodies, writer, accept });
   * createServer((request, response) => receiver.receive(request, response));
   */
  static create(options: RequestReceiverOptions): RequestReceiver {
    return new RequestReceiver(options);
  }

  /** Applies the configured limit of one body. */
  setMaxBodyBytes(maxBodyBytes: number): void {
    this.#maxBodyBytes = maxBodyBytes;
  }

  /** Whether a request of the connection was answered before it was complete. */
  hasRefused(socket: Socket): boolean {
    return this.#refusedSockets.has(socket);
  }

  /** Receives one request; `askForBody` is given when the caller sends the body only after `100 Continue`. */
  receive(request: IncomingMessage, response: ServerResponse, askForBody?: () => void): void {
    if (!hasBody(request)) {
      request.resume();
      request.on('end', () => this.options.accept(request, response, this.#decode(request)));
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
    this.options.bodies.receive({
      request,
      response,
      maxBytes: this.#maxBodyBytes,
      onHeadAccepted: askForBody,
      onComplete: (body) => this.options.accept(request, response, { ...decoded, body }),
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
        this.options.writer.writeWhole(response, refusal);
        response.end();
      }
    });
    this.options.bodies.drop(request, () => this.#refuse(request, response, refusal));
  }

  /** Answers at once; the connection closes after the rest of the body, or after a while. */
  #refuse(request: IncomingMessage, response: ServerResponse, refusal: RefusalAnswer): void {
    if (response.headersSent || response.destroyed) {
      return;
    }
    this.#refusedSockets.add(request.socket);
    response.shouldKeepAlive = false;
    this.options.writer.writeWhole(response, refusal);
    const timer = setTimeout(() => response.end(), REFUSED_BODY_MS);
    request.on('end', () => response.end());
    response.on('close', () => clearTimeout(timer));
    this.options.bodies.drop(request, () => {
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
}
