/** @module Splits a byte stream into frames: a four-byte length, then that many bytes. */

import { BodyBuffer } from '@ebonysill/http';

/** Size of the length prefix of a frame. */
export const FRAME_HEADER_BYTES = 4;

/** Longest frame that is accepted. */
export const MAX_FRAME_BYTES = 4 * 1_024 * 1_024;

/** Longest frame that is accepted, by the number of the frame from 0. */
export type MaxBytesOf = (frameIndex: number) => number;

/** Buffers bytes until they form complete frames, at a cost of about the bytes of one frame. */
export class FrameReader {
  readonly #header = Buffer.alloc(FRAME_HEADER_BYTES);

  #headerBytes = 0;

  #payloadBytes = 0;

  readonly #payload = BodyBuffer.create();

  #frameCount = 0;

  private constructor(private readonly maxBytesOf: MaxBytesOf) {}

  /**
   * Creates a reader at the start of a stream.
   *
   * @example
   * const reader = FrameReader.create();
   */
  static create(maxBytesOf: MaxBytesOf = () => MAX_FRAME_BYTES): FrameReader {
    return new FrameReader(maxBytesOf);
  }

  /** Memory that the unfinished frame takes. */
  get pendingBytes(): number {
    return this.#payload.allocatedBytes;
  }

  /** Adds bytes; returns the complete frames, or undefined if one is too long. */
  push(bytes: Buffer): readonly Buffer[] | undefined {
    const frames: Buffer[] = [];
    let offset = 0;
    while (offset < bytes.length) {
      offset += this.#pushPart(bytes.subarray(offset));
      const hasHeader = this.#headerBytes === FRAME_HEADER_BYTES;
      if (hasHeader && this.#payloadBytes > this.maxBytesOf(this.#frameCount)) {
        return undefined;
      }
      if (hasHeader && this.#payload.sizeBytes === this.#payloadBytes) {
        frames.push(this.#payload.take());
        this.#headerBytes = 0;
        this.#frameCount += 1;
      }
    }
    return frames;
  }

  /** Adds bytes to the header or the payload of the current frame; returns how many. */
  #pushPart(bytes: Buffer): number {
    if (this.#headerBytes < FRAME_HEADER_BYTES) {
      const count = bytes.copy(this.#header, this.#headerBytes);
      this.#headerBytes += count;
      this.#payloadBytes = this.#header.readUInt32BE();
      return count;
    }
    const part = bytes.subarray(0, this.#payloadBytes - this.#payload.sizeBytes);
    this.#payload.push(part);
    return part.length;
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
