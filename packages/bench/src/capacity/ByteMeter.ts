/** @module Counts the control traffic that processes send, with TCP and IP headers. */
import { MessageKind, type Message } from '@ebonysill/core';
import { encodeMessage } from '@ebonysill/transport';

/** Bytes added to each message: IPv4 and TCP headers with timestamps, and the frame length. */
const HEADER_BYTES = 56;

/** Messages that carry keys, requests and answers; all others are control messages. */
const DATA_KINDS: readonly MessageKind[] = [
  MessageKind.Run,
  MessageKind.RunHead,
  MessageKind.RunChunk,
  MessageKind.RunEnd,
  MessageKind.RunFailed,
  MessageKind.MintKey,
  MessageKind.KeyMinted,
  MessageKind.KeyRefused,
];

/** Counts the control messages that a selected group of processes sends. */
export default class ByteMeter {
  #controlBytes = 0;

  #messageCount = 0;

  #isCounting = false;

  private constructor(private readonly isCounted: (processId: string) => boolean) {}

  /**
   * Creates a meter for the selected processes, which counts nothing before `start`.
   *
   * @example
   * const meter = ByteMeter.create((processId) => processId === 'entry-1');
   */
  static create(isCounted: (processId: string) => boolean): ByteMeter {
    return new ByteMeter(isCounted);
  }

  /** Control bytes sent since `start`, with headers. */
  get controlBytes(): number {
    return this.#controlBytes;
  }

  /** Control messages sent since `start`. */
  get messageCount(): number {
    return this.#messageCount;
  }

  start(): void {
    this.#isCounting = true;
  }

  /** Counts a message if it is a control message of a selected process. */
  readonly onSend = (processId: string, message: Message): void => {
    if (this.#isCounting && this.isCounted(processId) && !DATA_KINDS.includes(message.kind)) {
      this.#messageCount += 1;
      this.#controlBytes += encodeMessage(message).length + HEADER_BYTES;
    }
  };
}
