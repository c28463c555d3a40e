/**
 * @module Calls targets, each call on a connection of its own.
 *
 * Uses `node:http` because undici reports an answer as complete when a connection without
 * keep-alive is reset, or ends within a chunk.
 */
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import {
  CallStage,
  EventKind,
  type CheckTargetEffect,
  type Event,
  type HeaderField,
  type StartCallEffect,
  type TargetCall,
  type TargetHead,
} from '@ebonysill/gateway';
import { AnswerReader, detectReset, limitInformation, type AnswerControl } from '@ebonysill/http';
import checkReachability from './checkReachability.js';

/** Encodes a call's header fields. */
export type EncodeCall = (call: TargetCall) => readonly HeaderField[];

/** Decodes the head of an answer; `rawHeaders` alternates names and values. */
export type DecodeTargetHead = (status: number, rawHeaders: readonly string[]) => TargetHead;

/** Options of a target client. */
export interface TargetClientOptions {
  readonly encode: EncodeCall;
  readonly decode: DecodeTargetHead;
  readonly post: (event: Event) => void;
  /** By default one that shares its bounds with no other port. */
  readonly reader?: AnswerReader;
}

/** A slower connect has lost its SYN packet, which is retransmitted only after seconds. */
const CONNECT_TIMEOUT_MS = 300;

interface OpenCall {
  readonly request: ClientRequest;
  readonly connectTimer: NodeJS.Timeout;
  isConnected: boolean;
  /** Absent until the head of the answer has come. */
  control?: AnswerControl;
}

/** Opens a new connection for each call: a reused one could deliver bytes of an earlier answer. */
export default class TargetClient {
  readonly #openCalls = new Map<number, OpenCall>();

  readonly #reader: AnswerReader;

  private constructor(private readonly options: TargetClientOptions) {
    this.#reader = options.reader ?? AnswerReader.create();
  }

  /**
   * Creates a client without calls.
   *
   * @example
   * const client = TargetClient.create({ encode, decode, post });
   */
  static create(options: TargetClientOptions): TargetClient {
    return new TargetClient(options);
  }

  /** Sends a call; its answer or failure is posted as events with the same `callId`. */
  start({ callId, call }: StartCallEffect): void {
    const [host = '', port = ''] = call.address.split(':');
    const outgoing = request({
      host,
      port: Number(port),
      method: call.method,
      path: call.path,
      headers: this.#headersOf(call),
      createConnection: this.#reader.connect,
    });
    const connectTimer = setTimeout(
      () => this.#fail(callId, 'connection not established in time'),
      CONNECT_TIMEOUT_MS,
    );
    this.#openCalls.set(callId, { request: outgoing, connectTimer, isConnected: false });
    outgoing.on('socket', (socket) => socket.on('connect', () => this.#onConnected(callId)));
    limitInformation(outgoing, () => this.#fail(callId, 'too many informational heads'));
    outgoing.on('upgrade', () => this.#fail(callId, 'the target changes the protocol'));
    outgoing.on('response', (answer) => this.#onAnswer(callId, answer));
    outgoing.on('error', (error) => this.#fail(callId, error.message));
    outgoing.end(call.body);
  }

  /** Closes the connection of a call; no further events are posted for it. */
  cancel(callId: number): void {
    this.#removeCall(callId)?.request.destroy();
  }

  /** Reads no further block of an answer until `resume`. */
  pause(callId: number): void {
    this.#openCalls.get(callId)?.control?.pause();
  }

  /** Reads an answer on. */
  resume(callId: number): void {
    this.#openCalls.get(callId)?.control?.resume();
  }

  /** Checks whether a target accepts connections; the result is posted as an event. */
  check({ instanceId, address }: CheckTargetEffect): void {
    checkReachability(address, CONNECT_TIMEOUT_MS, (reachability) =>
      this.options.post({ kind: EventKind.TargetChecked, instanceId, reachability }),
    );
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
    const call = this.#openCalls.get(callId);
    if (call !== undefined) {
      call.isConnected = true;
      clearTimeout(call.connectTimer);
    }
  }

  #onAnswer(callId: number, answer: IncomingMessage): void {
    const { post, decode } = this.options;
    const call = this.#openCalls.get(callId);
    if (call === undefined) {
      return;
    }
    call.control = this.#reader.read({
      answer,
      onData: (data) => {
        if (this.#openCalls.has(callId)) {
          post({ kind: EventKind.TargetDataReceived, callId, data });
        }
      },
      onFragmented: () => this.#fail(callId, 'the answer consists of small chunks'),
    });
    const resetCheck = detectReset(answer);
    // Avoids an unhandled rejection: an answer without an 'end' event has already failed the call.
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

  #onEnd(callId: number, isComplete: boolean): void {
    if (!isComplete) {
      this.#fail(callId, 'answer ended before it was complete');
    } else if (this.#removeCall(callId) !== undefined) {
      this.options.post({ kind: EventKind.TargetAnswerEnded, callId });
    }
  }

  #fail(callId: number, detail: string): void {
    const call = this.#removeCall(callId);
    if (call !== undefined) {
      call.request.destroy();
      const stage = call.isConnected ? CallStage.Sent : CallStage.NotSent;
      this.options.post({ kind: EventKind.TargetCallFailed, callId, stage, detail });
    }
  }

  #removeCall(callId: number): OpenCall | undefined {
    const call = this.#openCalls.get(callId);
    this.#openCalls.delete(callId);
    clearTimeout(call?.connectTimer);
    return call;
  }
}
