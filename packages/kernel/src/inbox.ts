/** @module The single stream of events of a process. */
import { Stream, type Scheduler, type Sink } from 'most';

/** What an inbox is created from. */
export interface InboxOptions {
  /** Times of the events in the stream. */
  readonly nowMs: () => number;
  /** Called when answering an event failed; the stream has ended then. */
  readonly onBroken: (error: unknown) => void;
}

/** Events that wait while an earlier event is being answered. */
export class Inbox<TEvent> {
  /** The events, in the order in which they were posted. */
  readonly stream: Stream<TEvent>;

  readonly #waiting: TEvent[] = [];

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
   * Creates an inbox without events.
   *
   * @example
   * const inbox = Inbox.create<string>({ nowMs: () => Date.now(), onBroken });
   */
  static create<TEvent>(options: InboxOptions): Inbox<TEvent> {
    return new Inbox<TEvent>(options);
  }

  /** Delivers `event` now, or after the event that is being answered. */
  post(event: TEvent): void {
    this.#waiting.push(event);
    if (!this.#isDelivering) {
      this.#deliver();
    }
  }

  /** Stops the stream; later posts are dropped. */
  close(): void {
    this.#sink = undefined;
  }

  #emit(event: TEvent): void {
    try {
      this.#sink?.event(this.options.nowMs(), event);
    } catch (error) {
      this.close();
      this.options.onBroken(error);
    }
  }

  #deliver(): void {
    this.#isDelivering = true;
    try {
      while (this.#waiting.length > 0) {
        const event = this.#waiting.shift() as TEvent;
        this.#emit(event);
      }
    } finally {
      this.#isDelivering = false;
    }
  }
}
