/**
 * @module Stand-in for a model engine that streams tokens, runs requests concurrently and starts
 * cold.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { completionChunk, completionEnd } from './completion.js';
import { listen, readBody, respondJson } from './http-util.js';

/** Pace and cold start of the engine. */
export interface EngineOptions {
  /** Time between tokens; 0 writes them as fast as the connection accepts them. */
  readonly tokenIntervalMs: number;
  /** Time after a start or a crash during which the engine is cold. */
  readonly coldMs: number;
  /** Requests that a cold engine runs at once; one more crashes it. */
  readonly coldConcurrency: number;
  /** Delay until `/health` shows the end of a cold phase; its start shows at once. */
  readonly healthLagMs: number;
}

const DEFAULT_TOKENS = 32;

const requestSchema = z.object({
  max_tokens: z.int().min(1).max(100_000).default(DEFAULT_TOKENS),
  resume: z.object({ afterChunks: z.int().min(0), text: z.string() }).optional(),
});

/** The resume field is appended to the body and is not part of the prompt. */
const RESUME_FIELD = /,"resume":\{.*\}(?=\}$)/s;

/** Serves completions, each determined by the request body alone. */
export class EngineStandIn {
  readonly #server: Server;

  #coldUntilMs: number;

  #runningCount = 0;

  /** Completions begun since the start. */
  startedCount = 0;

  crashCount = 0;

  private constructor(private readonly options: EngineOptions) {
    this.#coldUntilMs = performance.now() + options.coldMs;
    this.#server = createServer((request, response) => this.#onRequest(request, response));
  }

  /**
   * Creates an engine that does not listen yet.
   *
   * @example
   * const engine = EngineStandIn.create({ tokenIntervalMs: 5, coldMs: 0, coldConcurrency: 2, healthLagMs: 0 });
   */
  static create(options: EngineOptions): EngineStandIn {
    return new EngineStandIn(options);
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

  #isCold(lagMs: number): boolean {
    return performance.now() - lagMs < this.#coldUntilMs;
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/health') {
      respondJson(response, 200, { isCold: this.#isCold(this.options.healthLagMs) });
      return;
    }
    readBody(request, (body) => this.#complete(response, body));
  }

  #complete(response: ServerResponse, body: string): void {
    if (this.#isCold(0) && this.#runningCount >= this.options.coldConcurrency) {
      this.#crash();
      return;
    }
    const parsed = requestSchema.safeParse(EngineStandIn.#parse(body));
    if (!parsed.success) {
      respondJson(response, 400, { error: 'expected a JSON object' });
      return;
    }
    this.#runningCount += 1;
    this.startedCount += 1;
    response.once('close', () => {
      this.#runningCount -= 1;
    });
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const { resume, max_tokens: count } = parsed.data;
    const prompt = body.replace(RESUME_FIELD, '');
    const firstIndex = resume?.afterChunks ?? 0;
    const delivered = Array.from({ length: Math.min(firstIndex, count) }, (_, index) =>
      completionChunk(prompt, index),
    ).join('');
    const matchesDelivered = resume === undefined || resume.text.startsWith(delivered);
    // A resume text that differs from this engine's own chunks gets an empty stream without the end
    // event.
    this.#stream(response, prompt, matchesDelivered ? firstIndex : count + 1, count);
  }

  static #parse(body: string): unknown {
    try {
      return JSON.parse(body);
    } catch {
      return undefined;
    }
  }

  #stream(response: ServerResponse, body: string, index: number, count: number): void {
    if (response.destroyed) {
      return;
    }
    if (index >= count) {
      response.end(index === count ? completionEnd : '');
      return;
    }
    const hasRoom = response.write(completionChunk(body, index));
    const next = (): void => this.#stream(response, body, index + 1, count);
    if (!hasRoom) {
      response.once('drain', next);
    } else if (this.options.tokenIntervalMs > 0) {
      setTimeout(next, this.options.tokenIntervalMs);
    } else {
      setImmediate(next);
    }
  }

  /** Closes every connection and is cold again. */
  #crash(): void {
    this.crashCount += 1;
    this.#coldUntilMs = performance.now() + this.options.coldMs;
    this.#server.closeAllConnections();
  }
}
