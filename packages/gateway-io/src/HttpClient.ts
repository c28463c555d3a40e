/**
 * @module Calls one HTTP server with text bodies over a connection that is kept.
 *
 * Node's client is used here: the memory that undici takes is dear on hosts with a few hundred MB.
 */
import { Agent, request, type IncomingMessage } from 'node:http';

/** What a caller is created from. */
export interface HttpClientOptions {
  /** IP address and port of the server. */
  readonly address: string;
}

/** One call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  /** Time for the whole call, from the connection to the last byte. */
  readonly timeoutMs: number;
}

/** The answer to a call. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

const createAgent = (): Agent => new Agent({ keepAlive: true, maxSockets: 2 });

const readText = async (answer: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  // eslint-disable-next-line no-restricted-syntax -- streams are read by iteration
  for await (const chunk of answer) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** Calls one server. */
export default class HttpClient {
  #agent = createAgent();

  private constructor(private readonly options: HttpClientOptions) {}

  /**
   * Creates a caller that is not connected yet.
   *
   * @example
   * const { status } = await HttpCaller.create({ address }).call({ method: 'GET', path, timeoutMs });
   */
  static create(options: HttpClientOptions): HttpClient {
    return new HttpClient(options);
  }

  /** Makes a call; throws when no whole answer comes in time. */
  async call(call: HttpCall): Promise<HttpAnswer> {
    try {
      const answer = await this.#send(call);
      return { status: answer.statusCode ?? 0, text: await readText(answer) };
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

  /** A connection on which an answer is missing gives no further answer. */
  #dropConnections(): void {
    this.#agent.destroy();
    this.#agent = createAgent();
  }
}
