/**
 * @module Stand-in for the configuration service and the host list, with a call count and a rate
 * limit.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { listen, readBody, respondJson } from './http-util.js';
import PublishedValue from './PublishedValue.js';

/** Availability of the service. */
export enum ConfigurationMode {
  Up = 'up',
  Down = 'down',
  /** Answers with the values that it served when it became stale. */
  Stale = 'stale',
}

const MAX_CALLS_PER_SECOND = 2_000;

const SECOND_MS = 1_000;

const HOSTS_PATH = '/v1/hosts';

const MODE_PATH = '/mode';

const revisionSchema = z.object({ revision: z.int() });

const modeSchema = z.object({
  mode: z.enum(ConfigurationMode),
  /** Delay before each read is answered. */
  delayMs: z.int().min(0).default(0),
});

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Serves the configuration and the list of live and leaving hosts; POST publishes or sets the mode.
 */
export class ConfigurationStandIn {
  readonly #server: Server;

  readonly #configuration = PublishedValue.create();

  readonly #hosts = PublishedValue.create();

  #mode = ConfigurationMode.Up;

  #delayMs = 0;

  #callsInWindow = 0;

  #windowStartMs = 0;

  /**
   * Reads and watches since the start, also those over the rate limit; not those while it is down.
   */
  callCount = 0;

  private constructor() {
    this.#server = createServer((request, response) => this.#onRequest(request, response));
  }

  /**
   * Creates a service without a configuration or hosts.
   *
   * @example
   * const service = ConfigurationStandIn.create();
   */
  static create(): ConfigurationStandIn {
    return new ConfigurationStandIn();
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

  /**
   * Changes the availability and the delay of reads; up serves the newest values, down cuts
   * connections.
   */
  setMode(mode: ConfigurationMode, delayMs = 0): void {
    this.#mode = mode;
    this.#delayMs = delayMs;
    if (mode === ConfigurationMode.Up) {
      this.#configuration.serveNewest();
      this.#hosts.serveNewest();
    }
    if (mode === ConfigurationMode.Down) {
      this.#server.closeAllConnections();
    }
  }

  /** Publishes a configuration, as an operator does. */
  publish(text: string): void {
    this.#publishTo(this.#configuration, text);
  }

  /** Publishes a list of hosts, as the platform does. */
  publishHosts(text: string): void {
    this.#publishTo(this.#hosts, text);
  }

  #publishTo(value: PublishedValue, text: string): void {
    const parsed = revisionSchema.safeParse(parseJson(text));
    value.publish(text, parsed.data?.revision ?? value.newestRevision + 1);
    if (this.#mode === ConfigurationMode.Up) {
      value.serveNewest();
    }
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    if (request.method === 'POST') {
      readBody(request, (body) => this.#onPost(request.url ?? '', body, response));
      return;
    }
    if (this.#mode === ConfigurationMode.Down || !this.#isWithinRate()) {
      response.writeHead(503);
      response.end();
      return;
    }
    const url = new URL(request.url ?? '/', 'http://localhost');
    const value = url.pathname === HOSTS_PATH ? this.#hosts : this.#configuration;
    const aboveRevision = Number(url.searchParams.get('above') ?? 0);
    setTimeout(() => value.read(aboveRevision, response), this.#delayMs);
  }

  #onPost(path: string, body: string, response: ServerResponse): void {
    const mode = modeSchema.safeParse(parseJson(body));
    if (path === MODE_PATH && mode.success) {
      this.setMode(mode.data.mode, mode.data.delayMs);
    } else {
      this.#publishTo(path === HOSTS_PATH ? this.#hosts : this.#configuration, body);
    }
    respondJson(response, 200, { revision: this.#configuration.newestRevision });
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
}
