/** @module Splits the bytes of an event stream into complete events. */

/** One complete event, with the blank line that ends it. */
export interface StreamEvent {
  readonly data: Uint8Array;
  /** Value of the field `id`; absent when the event has none. */
  readonly id?: string;
  /** Whether the event has an id or data; comments only keep a connection open. */
  readonly hasContent: boolean;
}

/** Maximum size of an incomplete event; a target that exceeds it is treated as failed. */
export const MAX_EVENT_BYTES = 262_144;

const LINE_FEED = 0x0a;

const CARRIAGE_RETURN = 0x0d;

const ID_PATTERN = /^id: ?(.*?)\r?$/m;

const DATA_PATTERN = /^data/m;

const EMPTY = Buffer.alloc(0);

/** Position after the next blank line from `from`, or -1. */
const findEnd = (bytes: Buffer, from: number): number => {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
};

const toEvent = (data: Buffer): StreamEvent => {
  const text = data.toString('latin1');
  const id = ID_PATTERN.exec(text)?.[1];
  return id === undefined
    ? { data, hasContent: DATA_PATTERN.test(text) }
    : { data, hasContent: true, id };
};

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  #pending: Buffer = EMPTY;

  private constructor() {}

  /**
   * Creates a splitter with an empty buffer.
   *
   * @example
   * EventSplitter.create().push(Buffer.from('id: 1\ndata: a\n\nid: 2\n')).length; // 1
   */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Appends bytes and returns the events that they complete. */
  push(data: Uint8Array): readonly StreamEvent[] {
    const bytes =
      this.#pending.length === 0 ? Buffer.from(data) : Buffer.concat([this.#pending, data]);
    const events: StreamEvent[] = [];
    let start = 0;
    // The last three bytes before the new ones may be the begin of a blank line.
    let end = findEnd(bytes, Math.max(0, this.#pending.length - 3));
    while (end >= 0) {
      events.push(toEvent(bytes.subarray(start, end)));
      start = end;
      end = findEnd(bytes, start);
    }
    this.#pending = bytes.subarray(start);
    return events;
  }
}
