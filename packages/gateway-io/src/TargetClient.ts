/** @module Calls targets, each call on a connection of its own. */
import {
  CallStage,
  EventKind,
  type Event,
  type StartCallEffect,
  type TargetCall,
  type TargetHead,
} from '@ebonysill/gateway';
import { Client, type Dispatcher } from 'undici';

/** Encodes a call's header fields, names and values in turn. */
export type EncodeCall = (call: TargetCall) => string[];

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

interface OpenCall {
  readonly client: Client;
  isSent: boolean;
}

/** What undici tells of a call. */
type CallHandler = Dispatcher.DispatchHandler;

const asText = (value: string | Buffer): string =>
  typeof value === 'string' ? value : value.toString('latin1');

/** Sends calls. A connection that served another call could answer with that call's bytes. */
export default class TargetClient {
  readonly #open = new Map<number, OpenCall>();

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
    const client = new Client(`http://${call.address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#open.set(callId, { client, isSent: false });
    client.dispatch(
      {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: this.options.encode(call),
        body: call.body.length === 0 ? null : call.body,
        reset: true,
      },
      this.#createHandler(callId),
    );
  }

  /** Closes a call's connection; nothing more is told of it. */
  cancel(callId: number): void {
    this.#close(callId);
  }

  #createHandler(callId: number): CallHandler {
    const { post, decode } = this.options;
    return {
      onRequestStart: () => {
        const open = this.#open.get(callId);
        if (open !== undefined) {
          open.isSent = true;
        }
      },
      onResponseStart: (controller, status) => {
        const rawHeaders = (controller.rawHeaders as (string | Buffer)[]).map(asText);
        const head = decode(status, rawHeaders);
        post({ kind: EventKind.TargetHeadReceived, callId, head });
      },
      onResponseData: (_controller, data) => {
        post({ kind: EventKind.TargetDataReceived, callId, data });
      },
      onResponseEnd: () => {
        if (this.#close(callId) !== undefined) {
          post({ kind: EventKind.TargetAnswerEnded, callId });
        }
      },
      onResponseError: (_controller, error) => {
        const open = this.#close(callId);
        if (open !== undefined) {
          const stage = open.isSent ? CallStage.Sent : CallStage.NotSent;
          post({ kind: EventKind.TargetCallFailed, callId, stage, detail: error.message });
        }
      },
    };
  }

  #close(callId: number): OpenCall | undefined {
    const open = this.#open.get(callId);
    this.#open.delete(callId);
    // The client reports a connection that it closes itself as an error of its own call.
    open?.client.destroy().catch(() => undefined);
    return open;
  }
}
