/** @module Counts what the listeners of a process drop, and reports it by listener and cause. */
import { CauseReporter } from '@ebonysill/http';

/** Listeners that bound what their clients make the process keep. */
export enum Listener {
  Callers = 'callers',
  Links = 'links',
  Operators = 'operators',
}

/** Drops of one listener for one cause. */
export interface DropCount {
  readonly listener: Listener;
  readonly cause: string;
  readonly count: number;
}

/** Records one drop. */
export type RecordDrop = (cause: string) => void;

/** Counts drops since the start of the process. */
export class DropCounters {
  readonly #counts = new Map<Listener, Map<string, number>>();

  private constructor(private readonly write: (line: DropCount) => void) {}

  /**
   * Creates counters; `write` gets the drops since the last line of a listener and cause.
   *
   * @example
   * const drops = DropCounters.create((line) => logPort.writeDropped(line));
   * const callers = CallerPort.create({ post, readPage, onDropped: drops.recorderOf(Listener.Callers) });
   */
  static create(write: (line: DropCount) => void): DropCounters {
    return new DropCounters(write);
  }

  /** Returns the function that records the drops of one listener. */
  recorderOf(listener: Listener): RecordDrop {
    const counts = this.#counts.get(listener) ?? new Map<string, number>();
    this.#counts.set(listener, counts);
    const reporter = CauseReporter.create({
      count: (cause) => counts.set(cause, (counts.get(cause) ?? 0) + 1),
      write: (cause, count) => this.write({ listener, cause, count }),
    });
    return reporter.record;
  }

  /** Returns the drops since the start of the process. */
  report(): readonly DropCount[] {
    return [...this.#counts].flatMap(([listener, counts]) =>
      [...counts].map(([cause, count]) => ({ listener, cause, count })),
    );
  }
}
