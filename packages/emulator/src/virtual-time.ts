/** @module A virtual clock that advances only from one scheduled action to the next. */
import TinyQueue from 'tinyqueue';

/** An action that is due at a virtual time. */
export interface ScheduledAction {
  readonly atMs: number;
  /** Actions due at the same time run in the order in which they were scheduled. */
  readonly order: number;
  readonly action: () => void;
}

const compare = (left: ScheduledAction, right: ScheduledAction): number =>
  left.atMs - right.atMs || left.order - right.order;

/** Runs scheduled actions in the order in which they fall due. */
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

  /** Virtual time since the start. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules an action after a delay; a negative delay counts as zero. */
  schedule(delayMs: number, action: () => void): ScheduledAction {
    this.#order += 1;
    const scheduled = { atMs: this.#nowMs + Math.max(delayMs, 0), order: this.#order, action };
    this.#queue.push(scheduled);
    return scheduled;
  }

  /** Cancels a scheduled action that has not run yet. */
  cancel(scheduled: ScheduledAction): void {
    this.#cancelled.add(scheduled);
  }

  /** Runs every action due up to a time, and advances the clock to it. */
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
