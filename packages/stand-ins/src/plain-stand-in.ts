/** @module Stand-in for a plain service that counts the runs of each request body. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { listen, readBody, respondJson } from './http-util.js';

/** Delay and duplicate check of the service. */
export interface PlainOptions {
  /** Time between the arrival of a call and its run. */
  readonly holdMs: number;
  /** Whether a repeated idempotency key is answered from the first run. */
  readonly checksKeys: boolean;
}

/** Serves calls, and counts the runs of each request body. */
export class PlainStandIn {
  readonly #server: Server;

  readonly #runsByBody = new Map<string, number>();

  /** Number of the run that first used each idempotency key. */
  readonly #runNumberByKey = new Map<string, number>();

  #runCount = 0;

  private constructor(private readonly options: PlainOptions) {
    this.#server = createServer((request, response) => this.#onRequest(request, response));
  }

  /**
   * Creates a service that does not listen yet.
   *
   * @example
   * const enrolment = PlainStandIn.create({ holdMs: 0, checksKeys: false });
   */
  static create(options: PlainOptions): PlainStandIn {
    return new PlainStandIn(options);
  }

  /** Listens on loopback; resolves with the port number. */
  listen(port: number): Promise<number> {
    return listen(this.#server, port);
  }

  /** Stops at once and closes every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Number of runs of a request body. */
  runsOf(body: string): number {
    return this.#runsByBody.get(body) ?? 0;
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/health') {
      respondJson(response, 200, { isCold: false });
      return;
    }
    if (request.url === '/runs') {
      respondJson(response, 200, Object.fromEntries(this.#runsByBody));
      return;
    }
    if (request.method === 'GET') {
      respondJson(response, 200, { path: request.url, inStockCount: 7 });
      return;
    }
    readBody(request, (body) => {
      setTimeout(() => this.#run(request, response, body), this.options.holdMs);
    });
  }

  #run(request: IncomingMessage, response: ServerResponse, body: string): void {
    const key = String(request.headers['idempotency-key'] ?? '');
    const firstRunNumber = this.options.checksKeys ? this.#runNumberByKey.get(key) : undefined;
    if (firstRunNumber === undefined) {
      this.#runCount += 1;
      this.#runsByBody.set(body, this.runsOf(body) + 1);
      this.#runNumberByKey.set(key, this.#runCount);
    }
    respondJson(response, 200, { licenceNumber: firstRunNumber ?? this.#runCount });
  }
}
