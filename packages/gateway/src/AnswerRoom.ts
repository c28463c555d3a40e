/**
 * @module Bounds the memory of answers that are kept whole until their callers have taken them.
 *
 * Load pattern: many callers request large answers at once and read them slowly or not at all, or faulty
 * targets send bytes without end. A small answer always has room. A large one reserves what it may take
 * before it is read on; the others wait in order, unread, at their targets.
 */

/** Maximum size of one answer. */
export const MAX_ANSWER_BYTES = 4_194_304;

/** Size from which an answer is large; a smaller one is taken by its connection at once. */
export const SMALL_ANSWER_BYTES = 16_384;

/** Memory that each block takes besides its bytes. */
const BLOCK_OVERHEAD_BYTES = 256;

/** Memory of an answer by its size, when it arrives in the packets of an ordinary network. */
const MEMORY_SHARE = 1.25;

/** Whether an answer may be read on. */
export enum RoomVerdict {
  ReadOn = 'read-on',
  /** Nothing more is read until there is room. */
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

/** Reserves room for the answers of one process. */
export default class AnswerRoom {
  readonly #holders = new Map<number, Holder>();

  /** By exchange, in order of arrival: bytes that its answer has to reserve. */
  readonly #waiting = new Map<number, number>();

  #reservedBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a room of which nothing is reserved; `maxBytes` is for all large answers together.
   *
   * @example
   * const room = AnswerRoom.create(29_000_000);
   */
  static create(maxBytes: number): AnswerRoom {
    return new AnswerRoom(maxBytes);
  }

  /** Whether answers wait for room. */
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
  add(exchangeId: number, blockBytes: number, announcedBytes = MAX_ANSWER_BYTES): RoomVerdict {
    const holder = this.#holders.get(exchangeId);
    if (holder === undefined) {
      return RoomVerdict.ReadOn;
    }
    holder.sizeBytes += blockBytes;
    holder.memoryBytes += blockBytes + BLOCK_OVERHEAD_BYTES;
    const maxMemoryBytes = MEMORY_SHARE * MAX_ANSWER_BYTES;
    if (holder.sizeBytes > MAX_ANSWER_BYTES || holder.memoryBytes > maxMemoryBytes) {
      return RoomVerdict.TooLarge;
    }
    if (holder.reservedBytes > 0 || holder.memoryBytes <= SMALL_ANSWER_BYTES) {
      return RoomVerdict.ReadOn;
    }
    const expectedBytes = MEMORY_SHARE * Math.max(holder.memoryBytes, announcedBytes);
    this.#waiting.set(exchangeId, Math.min(maxMemoryBytes, expectedBytes));
    this.#reserveNext();
    return this.#waiting.has(exchangeId) ? RoomVerdict.Wait : RoomVerdict.ReadOn;
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

  /** Reserves room for those that wait, in order; returns the calls that are read on. */
  reserveWaiting(): readonly number[] {
    const callIds: number[] = [];
    let callId = this.#reserveNext();
    while (callId !== undefined) {
      callIds.push(callId);
      callId = this.#reserveNext();
    }
    return callIds;
  }

  /** Reserves room for the first that waits; returns its call, or undefined without room. */
  #reserveNext(): number | undefined {
    const [next] = this.#waiting;
    if (next === undefined) {
      return undefined;
    }
    const [exchangeId, sizeBytes] = next;
    const holder = this.#holders.get(exchangeId);
    const hasRoom = this.#reservedBytes === 0 || this.#reservedBytes + sizeBytes <= this.maxBytes;
    if (holder === undefined || !hasRoom) {
      return undefined;
    }
    this.#waiting.delete(exchangeId);
    this.#reservedBytes += sizeBytes;
    holder.reservedBytes = sizeBytes;
    return holder.callId;
  }
}
