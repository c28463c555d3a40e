/**
 * @module Calls one HTTP server with text bodies over keep-alive connections.
 *
 * Uses `node:http` because undici needs too much memory for hosts with a few hundred MB, and bounds
 * neither the bytes of an answer nor their framing.
 */
import { Agent, request, type IncomingHttpHeaders, type IncomingMessage } from 'node:http';
import ModernError from 'modern-errors';
import AnswerReader from './AnswerReader.js';
import hasFinalStatus from './hasFinalStatus.js';
import limitInformation from './limitInformation.js';

/** Options of an HTTP client. */
export interface HttpClientOptions {
  /** IP address and port of the server. */
  readonly address: string;
  /** By default one that shares its bounds with no other port. */
  readonly reader?: AnswerReader;
  /** Whether connections are used again; true by default. */
  readonly isKeptAlive?: boolean;
  /** Size from which an answer fails the call. */
  readonly maxAnswerBytes?: number;
}

/** Method, path, body and timeout of a call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  /** For the whole call, from connecting to the last byte. */
  readonly timeoutMs: number;
}

/** Status, header fields and body of an answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** The largest pages of the store are a few MB. */
const DEFAULT_MAX_ANSWER_BYTES = 16_777_216;

/** The server sends what no sound answer has. */
const UnsoundAnswerError = ModernError.subclass('UnsoundAnswerError');

/** An answer whose body is not read yet. */
interface BegunAnswer {
  readonly answer: IncomingMessage;
  /** Bytes that the connection had brought before the request. */
  readonly startBytes: number;
}

/** HTTP client of one server. */
export default class HttpClient {
  readonly #reader: AnswerReader;

  readonly #agent: Agent;

  private constructor(private readonly options: HttpClientOptions) {
    this.#reader = options.reader ?? AnswerReader.create();
    this.#agent = this.#createAgent();
  }

  /**
   * Creates a client that is not connected yet.
   *
   * @example
   * const client = HttpClient.create({ address });
   * const { status } = await client.call({ method: 'GET', path, timeoutMs });
   */
  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /** Makes a call; rejects when the answer is not complete within the timeout. */
  async call(call: HttpCall): Promise<HttpAnswer> {
    try {
      const begun = await this.#send(call);
      if (!hasFinalStatus(begun.answer)) {
        begun.answer.destroy();
        throw new UnsoundAnswerError('the answer has no valid status');
      }
      const { statusCode: status = 0, headers } = begun.answer;
      return { status, headers, text: await this.#readText(begun) };
    } catch (error) {
      this.#closeIdle();
      throw error;
    }
  }

  #readText({ answer, startBytes }: BegunAnswer): Promise<string> {
    const { maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES } = this.options;
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    return new Promise((resolve, reject) => {
      const fail = (text: string): void => {
        answer.destroy();
        reject(new UnsoundAnswerError(text));
      };
      this.#reader.read({
        answer,
        startBytes,
        onData: (data) => {
          chunks.push(data);
          sizeBytes += data.length;
          if (sizeBytes > maxAnswerBytes) {
            fail(`the answer exceeds ${maxAnswerBytes} bytes`);
          }
        },
        onFragmented: () => fail('the answer consists of small chunks'),
      });
      answer.on('error', reject);
      answer.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    });
  }

  /** Closes the connections; calls in progress fail. */
  close(): void {
    this.#agent.destroy();
  }

  #send({ method, path, body, timeoutMs }: HttpCall): Promise<BegunAnswer> {
    const [host = '', port = ''] = this.options.address.split(':');
    const headers =
      body === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    return new Promise((resolve, reject) => {
      let startBytes = 0;
      const outgoing = request(
        {
          host,
          port: Number(port),
          method,
          path,
          headers,
          agent: this.#agent,
          signal: AbortSignal.timeout(timeoutMs),
        },
        (answer) => resolve({ answer, startBytes }),
      );
      outgoing.on('socket', (socket) => {
        startBytes = socket.bytesRead;
      });
      limitInformation(outgoing, () =>
        outgoing.destroy(new UnsoundAnswerError('too many informational heads')),
      );
      outgoing.on('error', reject);
      outgoing.end(body);
    });
  }

  /**
   * Closes the connections that wait for a call: they may have gone silent like that of a call that
   * failed. Those of other calls in progress go on.
   */
  #closeIdle(): void {
    Object.values(this.#agent.freeSockets).forEach((sockets) =>
      sockets?.forEach((socket) => socket.destroy()),
    );
  }

  #createAgent(): Agent {
    const { isKeptAlive = true } = this.options;
    const agent = new Agent({ keepAlive: isKeptAlive, maxSockets: 2 });
    agent.createConnection = this.#reader.connect;
    return agent;
  }
}
