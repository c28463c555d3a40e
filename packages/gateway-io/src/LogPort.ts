/** @module Writes structured logs without blocking the event loop. */
import { LogLevel, type LogEffect } from '@ebonysill/gateway';
import { destination, pino, type Logger } from 'pino';

/** Options of a log port. */
export interface LogPortOptions {
  readonly processName: string;
  readonly nowMs: () => number;
}

/** Buffered lines are written once they reach this size, or at the next flush. */
const MIN_WRITE_BYTES = 4_096;

/** Further lines are dropped when the output is not read, so that memory stays bounded. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Longest time that a line stays in the buffer. */
const FLUSH_INTERVAL_MS = 500;

/** Further lines are dropped and counted; a gateway completes about 10 requests a second. */
const MAX_LINES_PER_SECOND = 400;

const MS_PER_SECOND = 1_000;

/** Writes log lines as JSON, up to a number of lines a second. */
export default class LogPort {
  #currentSecond = 0;

  #linesInSecond = 0;

  #droppedCount = 0;

  private constructor(
    private readonly logger: Logger,
    private readonly nowMs: () => number,
    private readonly flushNow: () => void,
  ) {
    setInterval(() => this.flushNow(), FLUSH_INTERVAL_MS).unref();
  }

  /**
   * Creates a port that writes to standard output.
   *
   * @example
   * const logs = LogPort.create({ processName: 'gateway-1', nowMs });
   */
  static create({ processName, nowMs }: LogPortOptions): LogPort {
    const output = destination({
      fd: 1,
      sync: false,
      minLength: MIN_WRITE_BYTES,
      maxLength: MAX_BUFFERED_BYTES,
    });
    return new LogPort(pino({ base: { processName } }, output), nowMs, () => output.flush());
  }

  /** Writes one line, or counts it as dropped when the limit of the current second is reached. */
  write({ level, topic, fields }: LogEffect): void {
    if (this.#isOverLimit()) {
      this.#droppedCount += 1;
      return;
    }
    switch (level) {
      case LogLevel.Info:
        this.logger.info(fields, topic);
        return;
      case LogLevel.Warn:
        this.logger.warn(fields, topic);
        return;
      default:
        level satisfies never;
    }
  }

  /** Writes an error of a port that belongs to no request; the line limit does not apply. */
  error(error: unknown, text: string): void {
    this.logger.error({ err: error }, text);
  }

  /** Writes the error that ends the process, and flushes. */
  fatal(error: unknown): void {
    this.logger.fatal({ err: error }, 'broken invariant');
    this.flushNow();
  }

  /** Writes the buffered lines to the output. */
  flush(): void {
    this.flushNow();
  }

  #isOverLimit(): boolean {
    const second = Math.floor(this.nowMs() / MS_PER_SECOND);
    if (second !== this.#currentSecond) {
      this.#reportDropped();
      this.#currentSecond = second;
      this.#linesInSecond = 0;
    }
    this.#linesInSecond += 1;
    return this.#linesInSecond > MAX_LINES_PER_SECOND;
  }

  #reportDropped(): void {
    if (this.#droppedCount > 0) {
      this.logger.warn({ count: this.#droppedCount }, 'log lines dropped');
      this.#droppedCount = 0;
    }
  }
}
