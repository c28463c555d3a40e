/**
 * @module Calls one HTTP server with text bodies over keep-alive connections.
 *
 * Uses `node:http` because undici needs too much memory for hosts with a few hundred MB.
 */
import { Agent, request, type IncomingHttpHeaders, type IncomingMessage } from 'node:http';
import ModernError from 'modern-errors';

/** Options of an HTTP client. */
export interface HttpClientOptions {
  /** IP address and port of the server. */
  readonly address: string;
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

/** Size from which an answer fails the call; the store's largest pages are a few MB. */
const MAX_ANSWER_BYTES = 16_777_216;

/** The server sent more bytes than any sound answer has. */
const AnswerTooLargeError = ModernError.subclass('AnswerTooLargeError');

const createAgent = (): Agent => new Agent({ keepAlive: true, maxSockets: 2 });

const readText = async (answer: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  // eslint-disable-next-line no-restricted-syntax -- streams are read by iteration
  for await (const chunk of answer) {
    chunks.push(chunk as Buffer);
    sizeBytes += (chunk as Buffer).length;
    if (sizeBytes > MAX_ANSWER_BYTES) {
      throw new AnswerTooLargeError(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    }
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** HTTP client of one server. */
export default class HttpClient {
  #agent = createAgent();

  private constructor(private readonly options: HttpClientOptions) {}

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
      const answer = await this.#send(call);
      const { statusCode: status = 0, headers } = answer;
      return { status, headers, text: await readText(answer) };
    } catch (error) {
      this.#dropConnections();
      throw error;
    }
  }

  #send({ method, path, body, timeoutMs }: HttpCall): Promise<IncomingMessage> {
    const [host = '', port = ''] = this.options.address.split(':');
    const headers =
      body === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    return new Promise((resolve, reject) => {
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
        resolve,
      );
      outgoing.on('error', reject);
      outgoing.end(body);
    });
  }

  /** Closes all connections: one on which an answer is missing delivers no further answers. */
  #dropConnections(): void {
    this.#agent.destroy();
    this.#agent = createAgent();
  }
}
