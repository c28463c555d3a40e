/** @module A stand-in for a server (runner) of a plain service. */
/* eslint-disable import-x/extensions -- Node resolves ES modules by their full file name */
import { createServer } from 'node:http';
import listen from './listen.mjs';

/** A server (runner) of a plain service; records what reaches it and what it runs. */
export default class PlainServer {
  /** `{ atMs, id, tenant, key, path, expected }` of each request that began to run. */
  runs = [];

  #server;

  #sockets = new Set();

  constructor(instanceId, { answer, onRun = () => {} } = {}) {
    this.instanceId = instanceId;
    this.answer = answer;
    this.onRun = onRun;
  }

  async start(host) {
    this.#server = createServer((incoming, response) => this.#receive(incoming, response));
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.address = await listen(this.#server, host);
    return this;
  }

  entry(service, zone, more = {}) {
    return {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 6,
      state: 'available',
      'cold-remaining-ms': 0,
      'sequence-number': 1,
      born: 1_780_000_000_000,
      ...more,
    };
  }

  /** The process ends: what it still worked on is lost, new connections are refused. */
  end() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #receive(incoming, response) {
    response.on('error', () => {});
    incoming.on('error', () => {});
    const { headers } = incoming;
    const expected = headers['x-ebonysill-expected-instance'];
    const id = headers['x-ebonysill-attempt-id'];
    incoming.resume();
    incoming.on('end', () => {
      if (expected !== undefined && expected !== this.instanceId) {
        response.writeHead(421, {
          'x-ebonysill-request-not-executed': '1',
          'x-ebonysill-instance-id': this.instanceId,
        });
        response.end();
        return;
      }
      const run = {
        atMs: performance.now(),
        id,
        server: this.instanceId,
        method: incoming.method,
        path: incoming.url,
        tenant: headers['x-ebonysill-tenant-name'],
        key: headers['x-ebonysill-key'],
      };
      this.runs.push(run);
      this.onRun(run);
      this.answer(run, response, this);
    });
  }
}
