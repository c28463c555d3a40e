/** @module Reads the answers of the servers that a process calls. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import connectInSteps, { type SteppedConnection } from './connectInSteps.js';
import FramingMeter, { FramingVerdict } from './FramingMeter.js';
import GarbageMeter from './GarbageMeter.js';
import ReadTurns from './ReadTurns.js';
import SlowReads from './SlowReads.js';

/** An answer that is read. */
export interface AnswerReading {
  readonly answer: IncomingMessage;
  /** Bytes that the connection had brought before the request; 0 for a new one. */
  readonly startBytes?: number;
  /** Called with each block of the body. */
  readonly onData: (data: Buffer) => void;
  /** Called at most once, instead of further blocks, when the answer is mostly framing. */
  readonly onFragmented: () => void;
}

/** Holds back the blocks of an answer. */
export interface AnswerControl {
  /** Reads no further block. */
  readonly pause: () => void;
  /** Reads on. */
  readonly resume: () => void;
}

/** Options of a reader. */
export interface AnswerReaderOptions {
  /** Bounds what a turn of the event loop reads, together with other ports of the process. */
  readonly turns?: ReadTurns;
  readonly slowReads?: SlowReads;
  readonly garbage?: GarbageMeter;
}

/** Bytes of framing that a chunk has at least. */
const CHUNK_FRAMING_BYTES = 5;

/** Bytes of the status line and of what separates the fields of a head. */
const HEAD_OVERHEAD_BYTES = 64;

const FIELD_OVERHEAD_BYTES = 2;

const headBytesOf = ({ rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce((sum, text) => sum + text.length + FIELD_OVERHEAD_BYTES, HEAD_OVERHEAD_BYTES);

/**
 * Opens connections and reads the answers on them. A turn of the event loop reads a bounded number of
 * chunks; an answer that is mostly framing is read slowly, and fails when it goes on.
 */
export default class AnswerReader {
  readonly #connections = new WeakMap<Socket, SteppedConnection>();

  readonly #turns: ReadTurns;

  readonly #slowReads: SlowReads;

  readonly #garbage: GarbageMeter;

  private constructor({
    turns = ReadTurns.create(),
    slowReads = SlowReads.create(),
    garbage = GarbageMeter.create(),
  }: AnswerReaderOptions) {
    this.#turns = turns;
    this.#slowReads = slowReads;
    this.#garbage = garbage;
  }

  /**
   * Creates a reader without connections.
   *
   * @example
   * const reader = AnswerReader.create();
   * const outgoing = request({ createConnection: reader.connect, host, port });
   * outgoing.on('response', (answer) => reader.read({ answer, onData, onFragmented }));
   */
  static create(options: AnswerReaderOptions = {}): AnswerReader {
    return new AnswerReader(options);
  }

  /** Opens a connection; suits the option `createConnection` of requests. */
  readonly connect = ({
    host = '',
    port = 0,
  }: {
    readonly host?: string | null | undefined;
    readonly port?: number | string | null | undefined;
  }): Socket => {
    const connection = connectInSteps({ host: host ?? '', port: Number(port) });
    const { socket } = connection;
    this.#connections.set(socket, connection);
    this.#turns.watchSocket(socket);
    return socket;
  };

  /** Reads an answer until it ends, which the caller learns from the answer itself. */
  read({ answer, startBytes = 0, onData, onFragmented }: AnswerReading): AnswerControl {
    const { socket } = answer;
    const meter = FramingMeter.create();
    let parsedBytes = startBytes + headBytesOf(answer);
    let isReading = true;
    let isPaused = false;
    answer.once('close', () => this.#slowReads.remove(socket));
    const readBlock = (): void => {
      const data = (isReading && !isPaused ? answer.read() : null) as Buffer | null;
      if (data === null) {
        return;
      }
      const parsedNowBytes = socket.bytesRead - socket.readableLength;
      const blockBytes = Math.max(data.length, parsedNowBytes - parsedBytes);
      parsedBytes = Math.max(parsedBytes, parsedNowBytes);
      this.#garbage.recordBlock(blockBytes);
      const verdict = meter.record(blockBytes, data.length);
      if (verdict === FramingVerdict.Excessive) {
        isReading = false;
        socket.pause();
        onFragmented();
        return;
      }
      if (verdict === FramingVerdict.Fragmented) {
        this.#connections.get(socket)?.readInSmallSteps();
        socket.pause();
        this.#slowReads.add(socket, {
          excessBytes: meter.excessBytes,
          resume: () => {
            if (!isPaused) {
              socket.resume();
            }
          },
        });
      }
      const chunkCount = 1 + Math.floor((blockBytes - data.length) / CHUNK_FRAMING_BYTES);
      this.#turns.recordRead(socket, chunkCount);
      onData(data);
    };
    answer.on('readable', readBlock);
    return {
      pause: () => {
        isPaused = true;
        socket.pause();
      },
      resume: () => {
        isPaused = false;
        socket.resume();
        readBlock();
      },
    };
  }
}
