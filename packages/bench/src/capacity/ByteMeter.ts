/** @module Counts what processes send for control, with the headers of TCP and IP. */
import { MessageKind, type Message } from '@ebonysill/core';
import { encodeMessage } from '@ebonysill/transport';

/** IPv4 and TCP headers with timestamps, and the length before each frame. */
const HEADER_BYTES = 56;

/** Messages that carry requests and answers; all others are for control. */
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

/** Counts control messages of one group of processes. */
export default class ByteMeter {
  #controlBytes = 0;

  #messageCount = 0;

  #isCounting = false;

  private constructor(private readonly isCounted: (processId: string) => boolean) {}

  /**
   * Creates a meter for the processes that a test selects; it counts once it is on.
   *
   * @example
   * const meter = ByteMeter.create((processId) => processId === 'entry-1');
   */
  static create(isCounted: (processId: string) => boolean): ByteMeter {
    return new ByteMeter(isCounted);
  }

  /** Control bytes sent while the meter was on. */
  get controlBytes(): number {
    return this.#controlBytes;
  }

  /** Control messages sent while the meter was on. */
  get messageCount(): number {
    return this.#messageCount;
  }

  /** Starts to count. */
  start(): void {
    this.#isCounting = true;
  }

  /** Notes a message. */
  readonly onSend = (processId: string, message: Message): void => {
    if (this.#isCounting && this.isCounted(processId) && !DATA_KINDS.includes(message.kind)) {
      this.#messageCount += 1;
      this.#controlBytes += encodeMessage(message).length + HEADER_BYTES;
    }
  };
}
