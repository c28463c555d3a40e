/**
 * @module Bounds the memory of answers that are kept whole until their callers have taken them.
 *
 * Load pattern: many callers request large answers at once and read them slowly or not at all, or faulty
 * targets send bytes without end. A small answer is always read. A large one reserves the memory that it may
 * take before it is read on; the others wait in order, unread, at their targets.
 */

/** Maximum size of one answer. */
export const MAX_ANSWER_BYTES = 4_194_304;

/** Size from which an answer is large; a smaller one is taken by its connection at once. */
export const SMALL_ANSWER_BYTES = 16_384;

/** Memory that each block takes besides its bytes. */
const BLOCK_OVERHEAD_BYTES = 256;

/** Memory of an answer by its size, when it arrives in the packets of an ordinary network. */
const MEMORY_FACTOR = 1.25;

/** Whether an answer may be read on. */
export enum ReadVerdict {
  ReadOn = 'read-on',
  /** Nothing more is read until memory is free. */
  Wait = 'wait',
  /** The answer exceeds the maximum size. */
  TooLarge = 'too-large',
}

interface Holder {
  readonly callId: number;
  sizeBytes: number;
  memoryBytes: number;
  reservedBytes: number;
  isSent: boolean;
}

/** Reserves memory for the answers of one process. */
export default class AnswerMemory {
  readonly #holders = new Map<number, Holder>();

  /** By exchange, in order of arrival: bytes that its answer has to reserve. */
  readonly #waiting = new Map<number, number>();

  #reservedBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a record without reservations; `maxBytes` is for all large answers together.
   *
   * @example
   * const memory = AnswerMemory.create(29_000_000);
   */
  static create(maxBytes: number): AnswerMemory {
    return new AnswerMemory(maxBytes);
  }

  /** Whether answers wait for memory. */
  get hasWaiting(): boolean {
    return this.#waiting.size > 0;
  }

  /** Forgets the answer of an earlier call of the exchange. */
  begin(exchangeId: number, callId: number): void {
    this.remove(exchangeId);
    this.#holders.set(exchangeId, {
      callId,
      sizeBytes: 0,
      memoryBytes: 0,
      reservedBytes: 0,
      isSent: false,
    });
  }

  /** Counts a block; `announcedBytes` is the size of the whole answer, if its target has named it. */
  add(exchangeId: number, blockBytes: number, announcedBytes = MAX_ANSWER_BYTES): ReadVerdict {
    const holder = this.#holders.get(exchangeId);
    if (holder === undefined) {
      return ReadVerdict.ReadOn;
    }
    holder.sizeBytes += blockBytes;
    holder.memoryBytes += blockBytes + BLOCK_OVERHEAD_BYTES;
    const maxMemoryBytes = MEMORY_FACTOR * MAX_ANSWER_BYTES;
    if (holder.sizeBytes > MAX_ANSWER_BYTES || holder.memoryBytes > maxMemoryBytes) {
      return ReadVerdict.TooLarge;
    }
    if (holder.reservedBytes > 0 || holder.memoryBytes <= SMALL_ANSWER_BYTES) {
      return ReadVerdict.ReadOn;
    }
    const expectedBytes = MEMORY_FACTOR * Math.max(holder.memoryBytes, announcedBytes);
    this.#waiting.set(exchangeId, Math.min(maxMemoryBytes, expectedBytes));
    this.#reserveNext();
    return this.#waiting.has(exchangeId) ? ReadVerdict.Wait : ReadVerdict.ReadOn;
  }

  /** Keeps the reservation of a large answer that is complete until its caller has taken it. */
  markSent(exchangeId: number): void {
    const holder = this.#holders.get(exchangeId);
    if (holder !== undefined && holder.sizeBytes >= SMALL_ANSWER_BYTES) {
      this.#reservedBytes += holder.memoryBytes - holder.reservedBytes;
      holder.reservedBytes = holder.memoryBytes;
      holder.isSent = true;
    }
  }

  /** Forgets an exchange that has ended, unless its caller still takes the answer. */
  end(exchangeId: number): void {
    if (this.#holders.get(exchangeId)?.isSent !== true) {
      this.remove(exchangeId);
    }
  }

  /** Forgets an exchange. */
  remove(exchangeId: number): void {
    this.#reservedBytes -= this.#holders.get(exchangeId)?.reservedBytes ?? 0;
    this.#holders.delete(exchangeId);
    this.#waiting.delete(exchangeId);
  }

  /** Reserves memory for those that wait, in order; returns the calls that are read on. */
  reserveWaiting(): readonly number[] {
    const callIds: number[] = [];
    let callId = this.#reserveNext();
    while (callId !== undefined) {
      callIds.push(callId);
      callId = this.#reserveNext();
    }
    return callIds;
  }

  /** Reserves memory for the first that waits; returns its call, or undefined if there is none. */
  #reserveNext(): number | undefined {
    const [next] = this.#waiting;
    if (next === undefined) {
      return undefined;
    }
    const [exchangeId, sizeBytes] = next;
    const holder = this.#holders.get(exchangeId);
    const isFree = this.#reservedBytes === 0 || this.#reservedBytes + sizeBytes <= this.maxBytes;
    if (holder === undefined || !isFree) {
      return undefined;
    }
    this.#waiting.delete(exchangeId);
    this.#reservedBytes += sizeBytes;
    holder.reservedBytes = sizeBytes;
    return holder.callId;
  }
}
