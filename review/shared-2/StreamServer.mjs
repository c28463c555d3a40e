/* eslint-disable import-x/extensions, no-restricted-syntax -- a script that runs as it is */
/** Stand-in of a model runner: writes streams of events, and crashes on one body. */
import { createServer } from 'node:http';
import { listen } from './listen.mjs';

const EVENTS = 24;

const EVENT_MS = 40;

/** Body that crashes each runner that begins to run it. */
export const CRASHING_BODY = 'crash';

export default class StreamServer {
  /** When a request with the crashing body arrived, in ms of this process. */
  crashingArrivals = [];

  /** When the runner crashed, and the sound requests that it was running. */
  crashes = [];

  isUp = false;

  #open = new Map();

  constructor({ instanceId, eventsBeforeCrash, isFramed = true, onCrash }) {
    this.instanceId = instanceId;
    this.eventsBeforeCrash = eventsBeforeCrash;
    this.isFramed = isFramed;
    this.onCrash = onCrash;
  }

  static async create(options) {
    const server = new StreamServer(options);
    await server.start();
    return server;
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  async start() {
    this.server = createServer((request, response) => {
      this.#receive(request, response).catch(() => response.destroy());
    });
    this.port = await listen(this.server);
    this.isUp = true;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #crash() {
    if (!this.isUp) {
      return;
    }
    this.isUp = false;
    const lostIds = [...this.#open].filter(([, isSound]) => isSound).map(([id]) => id);
    this.crashes.push({ atMs: performance.now(), lostIds });
    this.#open.clear();
    this.close();
    this.onCrash(this);
  }

  async #receive(request, response) {
    const id = request.headers['x-ebonysill-attempt-id'];
    const expected = request.headers['x-ebonysill-expected-instance'];
    const blocks = [];
    for await (const block of request) {
      blocks.push(block);
    }
    if (expected !== undefined && expected !== this.instanceId) {
      response.writeHead(421, { 'x-ebonysill-instance-id': this.instanceId }).end();
      return;
    }
    const isCrashing = Buffer.concat(blocks).toString() === CRASHING_BODY;
    this.#open.set(id, !isCrashing);
    response.on('close', () => this.#open.delete(id));
    if (isCrashing) {
      this.crashingArrivals.push({ atMs: performance.now(), id });
    }
    const firstEvent = Number(request.headers['last-event-id'] ?? 0) + 1;
    if (isCrashing && this.isFramed && this.eventsBeforeCrash === 0) {
      setTimeout(() => this.#crash(), EVENT_MS);
      return;
    }
    if (!this.isFramed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-ebonysill-attempt-id': id,
      'x-ebonysill-response-signature': `sig-${this.instanceId}-${id}`,
    });
    this.#write(response, id, { event: firstEvent, isCrashing, writtenCount: 0 });
  }

  #write(response, id, { event, isCrashing, writtenCount }) {
    if (response.destroyed) {
      return;
    }
    if (isCrashing && writtenCount >= this.eventsBeforeCrash) {
      if (!this.isFramed) {
        response.write(`id: ${event}\ndata: `);
      }
      setTimeout(() => this.#crash(), this.isFramed ? 0 : EVENT_MS);
      return;
    }
    if (event > EVENTS) {
      response.end();
      return;
    }
    response.write(`id: ${event}\ndata: ${id}/${event}\n\n`);
    const next = { event: event + 1, isCrashing, writtenCount: writtenCount + 1 };
    setTimeout(() => this.#write(response, id, next), EVENT_MS);
  }
}
