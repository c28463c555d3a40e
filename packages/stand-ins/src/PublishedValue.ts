/**
 * @module A published value that clients read or watch by long polling, and that can be served
 * stale.
 */
import type { ServerResponse } from 'node:http';

/** A client that waits for a revision above `aboveRevision`. */
interface Watch {
  readonly aboveRevision: number;
  readonly response: ServerResponse;
}

/** A watch that waited this long is answered with 204. */
const WATCH_TIMEOUT_MS = 25_000;

const OK = 200;

const NO_CONTENT = 204;

/** Serves one value, and the watches that wait for a higher revision of it. */
export default class PublishedValue {
  readonly #watches = new Set<Watch>();

  #newest = '';

  #newestRevision = 0;

  #served = '';

  #servedRevision = 0;

  private constructor() {}

  /**
   * Creates an empty value at revision 0.
   *
   * @example
   * const value = PublishedValue.create();
   */
  static create(): PublishedValue {
    return new PublishedValue();
  }

  /** Revision published last, whether or not it is served yet. */
  get newestRevision(): number {
    return this.#newestRevision;
  }

  /** Stores a new text; clients get it after `serveNewest`. */
  publish(text: string, revision: number): void {
    this.#newest = text;
    this.#newestRevision = revision;
  }

  /** Serves the newest text from now on, and answers the watches that wait for it. */
  serveNewest(): void {
    this.#served = this.#newest;
    this.#servedRevision = this.#newestRevision;
    [...this.#watches]
      .filter(({ aboveRevision }) => aboveRevision < this.#servedRevision)
      .forEach((watch) => {
        this.#watches.delete(watch);
        this.#respond(watch.response);
      });
  }

  /** Answers once a revision above the given one is served, or with 204 after the time-out. */
  read(aboveRevision: number, response: ServerResponse): void {
    if (this.#servedRevision > aboveRevision) {
      this.#respond(response);
      return;
    }
    const watch: Watch = { aboveRevision, response };
    const timer = setTimeout(() => {
      response.writeHead(NO_CONTENT);
      response.end();
    }, WATCH_TIMEOUT_MS);
    this.#watches.add(watch);
    response.once('close', () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
    });
  }

  #respond(response: ServerResponse): void {
    response.writeHead(OK, { 'content-type': 'application/json' });
    response.end(this.#served);
  }
}
