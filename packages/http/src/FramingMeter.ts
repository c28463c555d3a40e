/**
 * @module Compares the framing of what a peer sends with its payload.
 *
 * Load pattern: a faulty server answers in chunks of one byte without end. The parser takes as long for
 * such a chunk as for one of some hundred bytes, so bounds on the payload come too late. A sound server
 * may send a chunk for each token, at the pace at which it generates them.
 */

/** How the framing compares with the payload. */
export enum FramingVerdict {
  /** As in sound answers. */
  Usual = 'usual',
  /** Many small chunks have come at once; the rest is read slowly. */
  Fragmented = 'fragmented',
  /** More than any sound answer has; the answer has failed. */
  Excessive = 'excessive',
}

/** Framing beyond the payload, from which on an answer is read slowly. */
const FRAGMENTED_BYTES = 2_048;

/** The same from which on it has failed: about 8,000 chunks of one byte. */
const MAX_EXCESS_BYTES = 32_768;

/** Excess that is forgiven: about 1,000 chunks of one byte a second, several times the pace of tokens. */
const FORGIVEN_BYTES_PER_SECOND = 4_096;

const MS_PER_SECOND = 1_000;

/** Meters what one connection brings. */
export default class FramingMeter {
  #excessBytes = 0;

  #recordedAtMs: number;

  private constructor(private readonly nowMs: () => number) {
    this.#recordedAtMs = nowMs();
  }

  /**
   * Creates a meter of an answer that has not begun; `nowMs` is a monotonic clock.
   *
   * @example
   * FramingMeter.create().record(120, 96); // FramingVerdict.Usual
   */
  static create(nowMs: () => number = () => performance.now()): FramingMeter {
    return new FramingMeter(nowMs);
  }

  /** Framing beyond the payload that is not forgiven yet. */
  get excessBytes(): number {
    return this.#excessBytes;
  }

  /** Records bytes that were read from the connection, and the payload among them. */
  record(readBytes: number, payloadBytes: number): FramingVerdict {
    const nowMs = this.nowMs();
    const forgivenBytes =
      ((nowMs - this.#recordedAtMs) * FORGIVEN_BYTES_PER_SECOND) / MS_PER_SECOND;
    this.#recordedAtMs = nowMs;
    const newBytes = Math.max(0, readBytes - 2 * payloadBytes);
    this.#excessBytes = Math.max(0, this.#excessBytes - forgivenBytes) + newBytes;
    if (this.#excessBytes > MAX_EXCESS_BYTES) {
      return FramingVerdict.Excessive;
    }
    return this.#excessBytes > FRAGMENTED_BYTES ? FramingVerdict.Fragmented : FramingVerdict.Usual;
  }
}
