/** @module Splits a byte stream into frames: a four-byte length, then that many bytes. */

/** Size of the length prefix of a frame. */
export const FRAME_HEADER_BYTES = 4;

/** Longest frame that is accepted. */
export const MAX_FRAME_BYTES = 4 * 1_024 * 1_024;

/** Buffers bytes until they form complete frames. */
export class FrameReader {
  #pending: Buffer = Buffer.alloc(0);

  private constructor() {}

  /**
   * Creates a reader at the start of a stream.
   *
   * @example
   * const reader = FrameReader.create();
   */
  static create(): FrameReader {
    return new FrameReader();
  }

  /** Adds bytes; returns the complete frames, or undefined if one exceeds `MAX_FRAME_BYTES`. */
  push(bytes: Buffer): readonly Buffer[] | undefined {
    this.#pending = this.#pending.length === 0 ? bytes : Buffer.concat([this.#pending, bytes]);
    const frames: Buffer[] = [];
    let offset = 0;
    while (this.#pending.length - offset >= FRAME_HEADER_BYTES) {
      const sizeBytes = this.#pending.readUInt32BE(offset);
      if (sizeBytes > MAX_FRAME_BYTES) {
        return undefined;
      }
      const start = offset + FRAME_HEADER_BYTES;
      if (this.#pending.length < start + sizeBytes) {
        break;
      }
      frames.push(this.#pending.subarray(start, start + sizeBytes));
      offset = start + sizeBytes;
    }
    this.#pending = this.#pending.subarray(offset);
    return frames;
  }
}

/**
 * Prefixes a payload with its length.
 *
 * @example
 * socket.write(frame(encodeMessage(message)));
 */
export const frame = (payload: Buffer): Buffer => {
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt32BE(payload.length);
  return Buffer.concat([header, payload]);
};
