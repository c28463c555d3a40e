/** @module A clock that moves only from one scheduled action to the next. */
import TinyQueue from 'tinyqueue';

/** An action at a time. */
export interface ScheduledAction {
  readonly atMs: number;
  /** Order among actions of the same time. */
  readonly order: number;
  readonly action: () => void;
}

const compare = (left: ScheduledAction, right: ScheduledAction): number =>
  left.atMs - right.atMs || left.order - right.order;

/** Runs scheduled actions in order of time. */
export class VirtualTime {
  readonly #queue = new TinyQueue<ScheduledAction>([], compare);

  readonly #cancelled = new Set<ScheduledAction>();

  #nowMs = 0;

  #order = 0;

  private constructor() {}

  /**
   * Creates a clock at zero.
   *
   * @example
   * const time = VirtualTime.create();
   */
  static create(): VirtualTime {
    return new VirtualTime();
  }

  /** Present time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Plans an action after a delay. */
  schedule(delayMs: number, action: () => void): ScheduledAction {
    this.#order += 1;
    const scheduled = { atMs: this.#nowMs + Math.max(delayMs, 0), order: this.#order, action };
    this.#queue.push(scheduled);
    return scheduled;
  }

  /** Drops a planned action. */
  cancel(scheduled: ScheduledAction): void {
    this.#cancelled.add(scheduled);
  }

  /** Runs every action up to a time, and moves the clock there. */
  runUntil(untilMs: number): void {
    let next = this.#queue.peek();
    while (next !== undefined && next.atMs <= untilMs) {
      this.#queue.pop();
      if (!this.#cancelled.delete(next)) {
        this.#nowMs = next.atMs;
        next.action();
      }
      next = this.#queue.peek();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }
}
