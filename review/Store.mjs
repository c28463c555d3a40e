/**
 * @module A stand-in for the platform's store, as the pages describe it: one revision counter, pages
 * and watches. Each machine has an address of its own, so that it can be treated apart.
 */
/* eslint-disable import-x/extensions -- Node resolves ES modules by their full file name */
import { createServer } from 'node:http';
import listen from './listen.mjs';

/** How the store treats the calls that arrive on one of its addresses. */
export const StoreMode = Object.freeze({
  Ok: 'ok',
  /** Answers 503: nothing was done. */
  Busy: 'busy',
});

const PAGE_SIZE = 500;

/** The platform's store: one revision counter, pages, watches. */
export class Store {
  #items = new Map();

  #history = [];

  #revision = 1;

  /** How often the store came back from a copy, plus one. */
  #era = 1;

  #watches = new Set();

  #servers = [];

  #modes = new Map();

  /** Sockets by address, so that those of one machine can be silenced. */
  #sockets = new Map();

  #silentSockets = new WeakSet();

  /** Called with `{ path, name }` of each call. */
  onCall = undefined;

  /** Opens an address; each machine is given one of its own, so that it can be treated apart. */
  async open(host, name) {
    const sockets = new Set();
    this.#sockets.set(name, sockets);
    this.#modes.set(name, StoreMode.Ok);
    const server = createServer((incoming, response) => this.#answer(name, incoming, response));
    server.keepAliveTimeout = 60_000;
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    this.#servers.push(server);
    return listen(server, host);
  }

  setMode(name, mode) {
    this.#modes.set(name, mode);
  }

  /** The open connections of a machine carry nothing any more; new ones work. */
  silenceOpenConnections(name) {
    this.#sockets.get(name).forEach((socket) => this.#silentSockets.add(socket));
  }

  /** Writes an item and returns the time of the acknowledgement. */
  put(key, value) {
    const text = JSON.stringify(value);
    return this.#change(key, { 'stored-value': Buffer.from(text).toString('base64') });
  }

  remove(key) {
    return this.#change(key, { deleted: true });
  }

  /** Copies all items and the revision, for a restore. */
  copy() {
    return {
      items: new Map(this.#items),
      history: [...this.#history],
      revision: this.#revision,
    };
  }

  /**
   * The store is away for a moment and comes back from a copy. What was written since is gone, and
   * its revisions are given out again.
   */
  restore({ items, history, revision }) {
    this.#items = new Map(items);
    this.#history = [...history];
    this.#revision = revision;
    this.#era += 1;
    this.#sockets.forEach((sockets) => sockets.forEach((socket) => socket.destroy()));
  }

  close() {
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  #change(key, content) {
    this.#revision += 1;
    const item = { key, revision: this.#revision, ...content };
    this.#history.push(item);
    if (content.deleted) {
      this.#items.delete(key);
    } else {
      const created = this.#items.get(key)?.['creation-revision'] ?? this.#revision;
      this.#items.set(key, { ...item, 'creation-revision': created, 'lease-identifier': 0 });
    }
    const ackAtMs = performance.now();
    [...this.#watches].forEach(({ wake }) => wake());
    return ackAtMs;
  }

  #send(incoming, response, status, value) {
    if (this.#silentSockets.has(incoming.socket)) {
      return;
    }
    const body = JSON.stringify(value);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'store-era': String(this.#era),
    });
    response.end(body);
  }

  #answer(name, incoming, response) {
    const { pathname, searchParams } = new URL(incoming.url, 'http://store');
    this.onCall?.({ name, path: pathname });
    if (this.#modes.get(name) === StoreMode.Busy) {
      this.#send(incoming, response, 503, {});
    } else if (pathname === '/api/kv-watch') {
      this.#watch(name, incoming, response, searchParams);
    } else {
      this.#page(incoming, response, searchParams);
    }
  }

  #page(incoming, response, query) {
    const prefix = query.get('path-prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.#items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    this.#send(incoming, response, 200, {
      entries: keys.slice(0, PAGE_SIZE).map((key) => this.#items.get(key)),
      'has-more': keys.length > PAGE_SIZE,
      at: this.#revision,
    });
  }

  #watch(name, incoming, response, query) {
    const prefix = query.get('path-prefix') ?? '';
    const after = Number(query.get('after'));
    if (after > this.#revision) {
      this.#send(incoming, response, 410, {});
      return;
    }
    const eventsNow = () =>
      this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const watch = {};
    const end = () => {
      this.#watches.delete(watch);
      clearTimeout(watch.timer);
    };
    const finish = () => {
      end();
      const events = eventsNow();
      // A machine that the store turns away by now is refused instead.
      if (this.#modes.get(name) === StoreMode.Busy) {
        this.#send(incoming, response, 503, {});
        return;
      }
      this.#send(incoming, response, 200, { events, at: this.#revision });
    };
    watch.wake = () => {
      if (eventsNow().length > 0) {
        finish();
      }
    };
    watch.timer = setTimeout(finish, Number(query.get('wait-timeout-ms')));
    this.#watches.add(watch);
    response.on('close', end);
    watch.wake();
  }
}
