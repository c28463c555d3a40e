/** @module Reads a file of limited size. */
import { createReadStream } from 'node:fs';
import { buffer } from 'node:stream/consumers';

/** Whether a file could be read. */
export enum TextVerdict {
  Read = 'read',
  Refused = 'refused',
}

/** Text of a file, or why it could not be read. */
export type TextResult =
  | { readonly kind: TextVerdict.Read; readonly text: string }
  | { readonly kind: TextVerdict.Refused; readonly reason: string };

const refuse = (reason: string): TextResult => ({ kind: TextVerdict.Refused, reason });

const BYTES_PER_MEBIBYTE = 1_048_576;

const decodeUtf8 = (bytes: Uint8Array): TextResult => {
  try {
    // A byte order mark is kept, since JSON does not allow one and gateways refuse it.
    const text = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(bytes);
    return { kind: TextVerdict.Read, text };
  } catch {
    return refuse('the file is not UTF-8 text');
  }
};

/** Reads one byte more than allowed at most, so that devices and growing files end too. */
const readBytes = (file: string, maxBytes: number): Promise<Buffer> =>
  buffer(createReadStream(file, { end: maxBytes }));

/**
 * Reads a file as UTF-8; does not throw.
 *
 * @example
 * await readBoundedText('new.json', 16_777_216);
 */
export const readBoundedText = async (file: string, maxBytes: number): Promise<TextResult> => {
  try {
    const bytes = await readBytes(file, maxBytes);
    return bytes.length > maxBytes
      ? refuse(`the file is larger than ${maxBytes / BYTES_PER_MEBIBYTE} MiB`)
      : decodeUtf8(bytes);
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error';
    return refuse(`the file cannot be read (${code})`);
  }
};
