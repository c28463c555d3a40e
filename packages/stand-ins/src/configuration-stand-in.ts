/** @module Stand-in for the configuration service: read, long-poll watch, counted and limited. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { listen, readBody, respondJson } from './http-util.js';

/** Condition of the service. */
export enum ConfigurationMode {
  Up = 'up',
  Down = 'down',
  /** Answers with what it held when it became stale. */
  Stale = 'stale',
}

const MAX_CALLS_PER_SECOND = 2_000;

const WATCH_MS = 25_000;

const SECOND_MS = 1_000;

const revisionSchema = z.object({ revision: z.int() });

interface Watch {
  readonly aboveRevision: number;
  readonly response: ServerResponse;
}

/** Serves one configuration value. */
export class ConfigurationStandIn {
  readonly #server: Server;

  readonly #watches = new Set<Watch>();

  #text = '';

  #revision = 0;

  #mode = ConfigurationMode.Up;

  #callsInWindow = 0;

  #windowStartMs = 0;

  /** Calls since the start. */
  callCount = 0;

  private constructor() {
    this.#server = createServer((request, response) => this.#onRequest(request, response));
  }

  /**
   * Creates a service that holds nothing yet.
   *
   * @example
   * const service = ConfigurationStandIn.create();
   */
  static create(): ConfigurationStandIn {
    return new ConfigurationStandIn();
  }

  /** Starts to serve; resolves with the port number. */
  listen(port: number): Promise<number> {
    return listen(this.#server, port);
  }

  /** Stops at once. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Changes the condition of the service. */
  setMode(mode: ConfigurationMode): void {
    this.#mode = mode;
    if (mode === ConfigurationMode.Down) {
      this.#server.closeAllConnections();
    }
  }

  /** Holds a new value, as an operator publishes it. */
  publish(text: string): void {
    const parsed = revisionSchema.safeParse(ConfigurationStandIn.#parse(text));
    this.#text = text;
    this.#revision = parsed.data?.revision ?? this.#revision + 1;
    [...this.#watches]
      .filter(({ aboveRevision }) => aboveRevision < this.#revision)
      .forEach((watch) => this.#release(watch));
  }

  static #parse(text: string): unknown {
    try {
      return JSON.parse(text);
    } catch {
      return undefined;
    }
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    if (request.method === 'POST') {
      readBody(request, (body) => {
        this.publish(body);
        respondJson(response, 200, { revision: this.#revision });
      });
      return;
    }
    if (this.#mode === ConfigurationMode.Down || !this.#isWithinRate()) {
      response.writeHead(503);
      response.end();
      return;
    }
    const above = new URL(request.url ?? '/', 'http://localhost').searchParams.get('above');
    this.#answer(Number(above ?? 0), response);
  }

  #isWithinRate(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#windowStartMs > SECOND_MS) {
      this.#windowStartMs = nowMs;
      this.#callsInWindow = 0;
    }
    this.callCount += 1;
    this.#callsInWindow += 1;
    return this.#callsInWindow <= MAX_CALLS_PER_SECOND;
  }

  #answer(aboveRevision: number, response: ServerResponse): void {
    if (this.#revision > aboveRevision) {
      this.#write(response);
      return;
    }
    const watch: Watch = { aboveRevision, response };
    const timer = setTimeout(() => ConfigurationStandIn.#writeNothing(response), WATCH_MS);
    this.#watches.add(watch);
    response.once('close', () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
    });
  }

  static #writeNothing(response: ServerResponse): void {
    response.writeHead(204);
    response.end();
  }

  #release(watch: Watch): void {
    if (this.#mode === ConfigurationMode.Up) {
      this.#watches.delete(watch);
      this.#write(watch.response);
    }
  }

  #write(response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(this.#text);
  }
}
