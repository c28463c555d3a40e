/** @module The single stream of events of a process. */
import { Stream, type Scheduler, type Sink } from 'most';

/** Events that wait while an earlier event is being answered. */
export default class Inbox<TEvent> {
  /** The events, in the order in which they were posted. */
  readonly stream: Stream<TEvent>;

  readonly #waiting: TEvent[] = [];

  #sink: Sink<TEvent> | undefined;

  #isDelivering = false;

  private constructor(private readonly nowMs: () => number) {
    this.stream = new Stream<TEvent>({
      run: (sink: Sink<TEvent>, _scheduler: Scheduler) => {
        this.#sink = sink;
        return { dispose: () => this.close() };
      },
    });
  }

  /**
   * Creates an inbox whose stream times come from `nowMs`.
   *
   * @example
   * const inbox = Inbox.create<string>(() => Date.now());
   */
  static create<TEvent>(nowMs: () => number): Inbox<TEvent> {
    return new Inbox<TEvent>(nowMs);
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

  #deliver(): void {
    this.#isDelivering = true;
    try {
      while (this.#waiting.length > 0) {
        const event = this.#waiting.shift() as TEvent;
        this.#sink?.event(this.nowMs(), event);
      }
    } finally {
      this.#isDelivering = false;
    }
  }
}
