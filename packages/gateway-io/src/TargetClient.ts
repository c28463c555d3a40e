/**
 * @module Calls targets, each call on a connection of its own.
 *
 * Node's client is used here and not undici: undici takes a connection that is reset, or that ends
 * within a chunk, for the end of a whole answer when the connection is not to be kept.
 */
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import {
  CallStage,
  EventKind,
  type Event,
  type HeaderField,
  type StartCallEffect,
  type TargetCall,
  type TargetHead,
} from '@ebonysill/gateway';

/** Encodes a call's header fields. */
export type EncodeCall = (call: TargetCall) => readonly HeaderField[];

/** Decodes the head of an answer from its status and its header fields, names and values in turn. */
export type DecodeHead = (status: number, rawHeaders: readonly string[]) => TargetHead;

/** What a client is created from. */
export interface TargetClientOptions {
  readonly encode: EncodeCall;
  readonly decode: DecodeHead;
  readonly post: (event: Event) => void;
}

/** A connection that takes longer has lost its opening packet, which is sent again after seconds. */
const CONNECT_TIMEOUT_MS = 300;

/** Servers pass over empty lines before a request. */
const EMPTY_LINE = '\r\n';

interface OpenCall {
  readonly request: ClientRequest;
  readonly connectTimer: NodeJS.Timeout;
  isConnected: boolean;
}

/** Sends calls. A connection that served another call could answer with that call's bytes. */
export default class TargetClient {
  readonly #openCalls = new Map<number, OpenCall>();

  private constructor(private readonly options: TargetClientOptions) {}

  /**
   * Creates a client without calls.
   *
   * @example
   * const client = TargetClient.create({ encode, decode, post });
   */
  static create(options: TargetClientOptions): TargetClient {
    return new TargetClient(options);
  }

  /** Sends a call. */
  start({ callId, call }: StartCallEffect): void {
    const [host = '', port = ''] = call.address.split(':');
    const outgoing = request({
      host,
      port: Number(port),
      method: call.method,
      path: call.path,
      headers: this.#headersOf(call),
      agent: false,
    });
    const connectTimer = setTimeout(() => this.#fail(callId, 'no connection'), CONNECT_TIMEOUT_MS);
    this.#openCalls.set(callId, { request: outgoing, connectTimer, isConnected: false });
    outgoing.on('socket', (socket) => socket.on('connect', () => this.#onConnected(callId)));
    outgoing.on('response', (answer) => this.#onAnswer(callId, answer));
    outgoing.on('error', (error) => this.#fail(callId, error.message));
    outgoing.end(call.body);
  }

  /** Closes a call's connection; nothing more is told of it. */
  cancel(callId: number): void {
    this.#removeCall(callId)?.request.destroy();
  }

  #headersOf(call: TargetCall): string[] {
    const framing: readonly HeaderField[] = [
      { name: 'connection', value: 'close' },
      ...(call.body.length === 0 && call.method === 'GET'
        ? []
        : [{ name: 'content-length', value: String(call.body.length) }]),
    ];
    return [...this.options.encode(call), ...framing].flatMap(({ name, value }) => [name, value]);
  }

  #onConnected(callId: number): void {
    const open = this.#openCalls.get(callId);
    if (open !== undefined) {
      open.isConnected = true;
      clearTimeout(open.connectTimer);
    }
  }

  #onAnswer(callId: number, answer: IncomingMessage): void {
    const { post, decode } = this.options;
    if (!this.#openCalls.has(callId)) {
      return;
    }
    answer.on('data', (data: Uint8Array) => {
      if (this.#openCalls.has(callId)) {
        post({ kind: EventKind.TargetDataReceived, callId, data });
      }
    });
    const resetCheck = TargetClient.#detectReset(answer);
    // An answer that never ends has failed in another way already.
    resetCheck.catch(() => undefined);
    answer.on('end', () => {
      resetCheck.then(
        () => this.#onEnd(callId, answer.complete),
        (error: unknown) => this.#fail(callId, String(error)),
      );
    });
    answer.on('error', (error) => this.#fail(callId, error.message));
    const head = decode(answer.statusCode ?? 0, answer.rawHeaders);
    post({ kind: EventKind.TargetHeadReceived, callId, head });
  }

  /**
   * Settles when it is known whether an answer that ends with its connection was reset. Node tells a
   * reset that comes together with the last bytes as an ordinary end; only a write shows it.
   */
  static async #detectReset({ headers, socket }: IncomingMessage): Promise<void> {
    const isFramed =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    if (isFramed) {
      return;
    }
    await new Promise<void>((resolve, reject) => {
      socket.prependOnceListener('end', () => {
        socket.write(EMPTY_LINE, (error) => (error ? reject(error) : resolve()));
      });
      socket.once('close', () => resolve());
    });
  }

  #onEnd(callId: number, isComplete: boolean): void {
    if (!isComplete) {
      this.#fail(callId, 'the answer ends early');
    } else if (this.#removeCall(callId) !== undefined) {
      this.options.post({ kind: EventKind.TargetAnswerEnded, callId });
    }
  }

  #fail(callId: number, detail: string): void {
    const open = this.#removeCall(callId);
    if (open !== undefined) {
      open.request.destroy();
      const stage = open.isConnected ? CallStage.Sent : CallStage.NotSent;
      this.options.post({ kind: EventKind.TargetCallFailed, callId, stage, detail });
    }
  }

  #removeCall(callId: number): OpenCall | undefined {
    const open = this.#openCalls.get(callId);
    this.#openCalls.delete(callId);
    clearTimeout(open?.connectTimer);
    return open;
  }
}
