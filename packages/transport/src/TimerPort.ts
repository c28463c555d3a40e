/** @module Timers on the event loop of the process. */
import {
  EventKind,
  type ClearTimerEffect,
  type Event,
  type SetTimerEffect,
  type TimerKind,
} from '@ebonysill/core';

/** Timers by kind and key; each posts an event when it fires. */
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
      this.post({ kind: EventKind.Timer, timer, key });
    }, delayMs);
    this.#handles.set(name, handle);
  }

  /** Stops a timer; has no effect if none is set. */
  clear({ timer, key }: ClearTimerEffect): void {
    const name = TimerPort.#nameOf(timer, key);
    clearTimeout(this.#handles.get(name));
    this.#handles.delete(name);
  }

  /** Stops every timer. */
  shutdown(): void {
    this.#handles.forEach((handle) => clearTimeout(handle));
    this.#handles.clear();
  }

  static #nameOf(timer: TimerKind, key: string): string {
    return `${timer}/${key}`;
  }
}
