/* eslint-disable import-x/extensions -- a script that runs as it is */
/** Stand-in of the platform's store: items, pages, watches and the era. */
import { createServer } from 'node:http';
import { listen } from './listen.mjs';

const PAGE_SIZE = 500;

export default class Store {
  #items = new Map();

  #history = [];

  #revision = 10;

  #oldestRevision = 0;

  #isDown = false;

  #wakes = new Set();

  constructor({ era }) {
    this.era = era;
    this.server = createServer((request, response) => this.#answer(request, response));
  }

  static async create(options = {}) {
    const store = new Store({ era: 1, ...options });
    store.address = `127.0.0.1:${await listen(store.server)}`;
    return store;
  }

  put(key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#change({ key, revision: this.#revision + 1, 'stored-value': text });
  }

  remove(key) {
    this.#change({ key, revision: this.#revision + 1, deleted: true });
  }

  /** Copies items and revision; the returned function puts the store back to the copy. */
  copy() {
    const items = new Map(this.#items);
    const history = [...this.#history];
    const revision = this.#revision;
    return () => {
      this.#items = items;
      this.#history = history;
      this.#revision = revision;
      this.era += 1;
    };
  }

  /** While away, the store resets every connection. */
  setAway(isAway) {
    this.#isDown = isAway;
    if (isAway) {
      this.#wakes.clear();
      this.server.closeAllConnections();
    }
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #change(item) {
    this.#revision = item.revision;
    this.#history.push(item);
    if (item.deleted) {
      this.#items.delete(item.key);
    } else {
      this.#items.set(item.key, { 'lease-identifier': 0, ...item });
    }
    this.#wakes.forEach((wake) => wake());
  }

  #answer(request, response) {
    const url = new URL(request.url, 'http://store');
    if (this.#isDown) {
      request.socket.destroy();
    } else if (url.pathname === '/api/kv-range') {
      this.#page(url.searchParams, response);
    } else if (url.pathname === '/api/kv-watch') {
      this.#watch(url.searchParams, response);
    } else {
      this.#respond(response, 404, {});
    }
  }

  #respond(response, status, value) {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': this.era });
    response.end(JSON.stringify(value));
  }

  #page(query, response) {
    const prefix = query.get('path-prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.#items.keys()]
      .sort()
      .filter((key) => key.startsWith(prefix) && key > after);
    this.#respond(response, 200, {
      entries: keys.slice(0, PAGE_SIZE).map((key) => this.#items.get(key)),
      'has-more': keys.length > PAGE_SIZE,
      at: this.#revision,
    });
  }

  #watch(query, response) {
    const after = Number(query.get('after'));
    if (after < this.#oldestRevision || after > this.#revision) {
      this.#respond(response, 410, {});
      return;
    }
    const events = () => this.#history.filter(({ revision }) => revision > after);
    let timer;
    const finish = () => {
      this.#wakes.delete(finish);
      clearTimeout(timer);
      this.#respond(response, 200, { events: events(), at: this.#revision });
    };
    timer = setTimeout(finish, Number(query.get('wait-timeout-ms')));
    response.on('close', () => {
      this.#wakes.delete(finish);
      clearTimeout(timer);
    });
    this.#wakes.add(finish);
    if (events().length > 0) {
      finish();
    }
  }
}
