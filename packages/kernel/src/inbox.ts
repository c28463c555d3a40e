/** @module Queue of a process's events, delivered one at a time as a stream. */
import { Stream, type Scheduler, type Sink } from 'most';

/** Options of an inbox. */
export interface InboxOptions {
  /** Clock for the times of the events in the stream. */
  readonly nowMs: () => number;
  /** Called when handling an event threw; no further events are delivered. */
  readonly onFatalError: (error: unknown) => void;
}

/** Queues events that are posted while an earlier event is being handled. */
export class Inbox<TEvent> {
  /** The events in the order in which they were posted. */
  readonly stream: Stream<TEvent>;

  readonly #queue: TEvent[] = [];

  #sink: Sink<TEvent> | undefined;

  #isDelivering = false;

  private constructor(private readonly options: InboxOptions) {
    this.stream = new Stream<TEvent>({
      run: (sink: Sink<TEvent>, _scheduler: Scheduler) => {
        this.#sink = sink;
        return { dispose: () => this.close() };
      },
    });
  }

  /**
   * Creates an empty inbox.
   *
   * @example
   * const inbox = Inbox.create<string>({ nowMs: () => Date.now(), onFatalError });
   */
  static create<TEvent>(options: InboxOptions): Inbox<TEvent> {
    return new Inbox<TEvent>(options);
  }

  /** Delivers `event` before returning, or after the event that is being handled, if any. */
  post(event: TEvent): void {
    this.#queue.push(event);
    if (!this.#isDelivering) {
      this.#deliver();
    }
  }

  /** Stops the stream; queued events and later posts are dropped. */
  close(): void {
    this.#sink = undefined;
  }

  #emit(event: TEvent): void {
    try {
      this.#sink?.event(this.options.nowMs(), event);
    } catch (error) {
      this.close();
      this.options.onFatalError(error);
    }
  }

  #deliver(): void {
    this.#isDelivering = true;
    try {
      while (this.#queue.length > 0) {
        const event = this.#queue.shift() as TEvent;
        this.#emit(event);
      }
    } finally {
      this.#isDelivering = false;
    }
  }
}
