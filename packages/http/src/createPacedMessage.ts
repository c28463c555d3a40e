/** @module Requests of a server whose connections are read in turns. */
import { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** What such requests ask of the turns. */
export interface ReadPace {
  /** Records that a head or a chunk of a body was parsed. */
  readonly recordRead: (socket: Socket) => void;
  /** Whether a connection waits for its turn to be read again. */
  readonly isWaiting: (socket: Socket) => boolean;
}

/**
 * Creates a class for the option `IncomingMessage` of a server.
 *
 * @example
 * createServer({ IncomingMessage: createPacedMessage(pace) }, receive);
 */
const createPacedMessage = ({ recordRead, isWaiting }: ReadPace): typeof IncomingMessage =>
  class extends IncomingMessage {
    constructor(socket: Socket) {
      super(socket);
      recordRead(socket);
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
      recordRead(this.socket);
      return super.push(chunk, encoding);
    }

    /** Node resumes the connection here as soon as a chunk was taken. */
    // eslint-disable-next-line no-underscore-dangle -- the name is that of node:stream
    override _read(sizeBytes: number): void {
      if (!isWaiting(this.socket)) {
        // eslint-disable-next-line no-underscore-dangle -- the name is that of node:stream
        super._read(sizeBytes);
      }
    }
  };

export default createPacedMessage;
