/** @module Encodes messages between processes as MessagePack. */
import type { Message } from '@ebonysill/core';
import { Packr } from 'msgpackr';
import messageSchema from './messageSchema.js';

const packr = new Packr({ useRecords: false });

/**
 * Encodes a message; its shape is not checked.
 *
 * @example
 * const bytes = encodeMessage({ kind: MessageKind.Cancel, runId });
 */
export const encodeMessage = (message: Message): Buffer => packr.pack(message);

const unpack = (bytes: Uint8Array): unknown => {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
};

/**
 * Decodes and checks a message; undefined if the bytes are not a valid message.
 *
 * @example
 * const message = decodeMessage(bytes);
 */
export const decodeMessage = (bytes: Uint8Array): Message | undefined =>
  messageSchema.safeParse(unpack(bytes)).data;
