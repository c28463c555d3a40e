/** @module Timers on the event loop of the process. */
import {
  EventKind,
  type ClearTimerEffect,
  type Event,
  type SetTimerEffect,
  type TimerKind,
} from '@ebonysill/gateway';

/** Runs at most one timer for each kind and key. */
export default class TimerPort {
  readonly #handles = new Map<string, NodeJS.Timeout>();

  private constructor(private readonly post: (event: Event) => void) {}

  /**
   * Creates a port that posts timer events.
   *
   * @example
   * const timers = TimerPort.create((event) => kernel.post(event));
   */
  static create(post: (event: Event) => void): TimerPort {
    return new TimerPort(post);
  }

  /** Starts a timer, replacing one of the same kind and key. */
  set({ timer, key, delayMs }: SetTimerEffect): void {
    const name = TimerPort.#nameOf(timer, key);
    clearTimeout(this.#handles.get(name));
    const handle = setTimeout(() => {
      this.#handles.delete(name);
      this.post({ kind: EventKind.TimerFired, timer, key });
    }, delayMs);
    this.#handles.set(name, handle);
  }

  /** Stops a timer; does nothing when it is not running. */
  clear({ timer, key }: ClearTimerEffect): void {
    const name = TimerPort.#nameOf(timer, key);
    clearTimeout(this.#handles.get(name));
    this.#handles.delete(name);
  }

  static #nameOf(timer: TimerKind, key: number): string {
    return `${timer}/${key}`;
  }
}
