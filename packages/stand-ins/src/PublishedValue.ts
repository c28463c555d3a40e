/** @module One value of the platform that can be read and watched, but may be stale. */
import type { ServerResponse } from 'node:http';

/** A waiting watch. */
interface Watch {
  readonly aboveRevision: number;
  readonly response: ServerResponse;
}

/** Longest time that a watch waits. */
const WATCH_TIMEOUT_MS = 25_000;

const OK = 200;

const NO_CONTENT = 204;

/** Holds a value and the watches that wait for a higher revision. */
export default class PublishedValue {
  readonly #watches = new Set<Watch>();

  #newest = '';

  #newestRevision = 0;

  #served = '';

  #servedRevision = 0;

  private constructor() {}

  /**
   * Creates a value that holds nothing.
   *
   * @example
   * const value = PublishedValue.create();
   */
  static create(): PublishedValue {
    return new PublishedValue();
  }

  /** Revision that was published last. */
  get newestRevision(): number {
    return this.#newestRevision;
  }

  /** Holds a new text; readers see it once it is served. */
  publish(text: string, revision: number): void {
    this.#newest = text;
    this.#newestRevision = revision;
  }

  /** Lets readers see the newest text, and answers the watches that waited for it. */
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

  /** Answers a reader now, or when there is a revision above the given one. */
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
