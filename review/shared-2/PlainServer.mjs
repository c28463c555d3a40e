/* eslint-disable import-x/extensions -- a script that runs as it is */
/** Stand-in of a runner of a plain service: runs requests, signs its answers, and may be cold. */
import { createServer } from 'node:http';
import { listen } from './listen.mjs';

const WINDOW_MS = 1000;

export default class PlainServer {
  /** When requests arrived, in ms of this process, and what became of them. */
  arrivals = [];

  crashes = [];

  isCold = false;

  #open = new Set();

  constructor({ instanceId, workMs, maxColdArrivals = Infinity }) {
    this.instanceId = instanceId;
    this.workMs = workMs;
    this.maxColdArrivals = maxColdArrivals;
  }

  static async create(options) {
    const server = new PlainServer(options);
    await server.start();
    return server;
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  async start() {
    this.server = createServer((request, response) => this.#receive(request, response));
    this.port = await listen(this.server);
  }

  /** Ends the process that this stands for: no listener, every connection reset. */
  crash() {
    this.crashes.push({ atMs: performance.now(), lostIds: [...this.#open].map(({ id }) => id) });
    this.#open.forEach(({ response }) => response.socket?.resetAndDestroy());
    this.#open.clear();
    this.close();
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Most arrivals while cold within one second, and when that second ended. */
  get fullestSecond() {
    const times = this.arrivals.filter(({ isCold }) => isCold).map(({ atMs }) => atMs);
    return times.reduce(
      (fullest, atMs, index) => {
        const count = times.slice(0, index + 1).filter((other) => other > atMs - WINDOW_MS).length;
        return count > fullest.count ? { count, atMs } : fullest;
      },
      { count: 0, atMs: 0 },
    );
  }

  #receive(request, response) {
    const id = request.headers['x-ebonysill-attempt-id'];
    const expected = request.headers['x-ebonysill-expected-instance'];
    request.resume();
    if (expected !== undefined && expected !== this.instanceId) {
      response.writeHead(421, { 'x-ebonysill-instance-id': this.instanceId }).end();
      return;
    }
    const run = { id, response };
    this.arrivals.push({ atMs: performance.now(), id, isCold: this.isCold });
    this.#open.add(run);
    response.on('close', () => this.#open.delete(run));
    if (this.isCold && this.#lastSecondCount() > this.maxColdArrivals) {
      this.crash();
      return;
    }
    setTimeout(() => {
      if (!response.destroyed) {
        response.writeHead(200, {
          'x-ebonysill-attempt-id': id,
          'x-ebonysill-response-signature': `sig-${this.instanceId}-${id}`,
          'content-length': 2,
        });
        response.end('ok');
      }
    }, this.workMs);
  }

  #lastSecondCount() {
    const sinceMs = performance.now() - WINDOW_MS;
    return this.arrivals.filter(({ atMs, isCold }) => isCold && atMs > sinceMs).length;
  }
}
