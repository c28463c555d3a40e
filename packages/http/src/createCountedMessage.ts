/** @module Requests of a server that count what the parser reads. */
import { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Creates a class for the option `IncomingMessage` of a server; `recordRead` is called for each head and
 * each chunk of a body.
 *
 * @example
 * createServer({ IncomingMessage: createCountedMessage(recordRead) }, receive);
 */
const createCountedMessage = (recordRead: () => void): typeof IncomingMessage =>
  class extends IncomingMessage {
    constructor(socket: Socket) {
      super(socket);
      recordRead();
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
      recordRead();
      return super.push(chunk, encoding);
    }
  };

export default createCountedMessage;
