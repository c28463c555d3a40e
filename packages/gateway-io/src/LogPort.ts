/** @module Writes structured logs without ever blocking the loop. */
import { LogLevel, type LogEffect } from '@ebonysill/gateway';
import { destination, pino, type Logger } from 'pino';

/** What a log port is created from. */
export interface LogPortOptions {
  readonly processName: string;
  readonly nowMs: () => number;
}

/** Lines are written together once this many bytes wait, or at the next flush. */
const MIN_WRITE_BYTES = 4_096;

/** Lines that a reader does not take are dropped beyond this, so that memory stays bounded. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** How long a line may wait for others. */
const FLUSH_INTERVAL_MS = 500;

/** Lines a second above which only warnings are written; a gateway ends about 10 requests a second. */
const MAX_LINES_PER_SECOND = 400;

const MS_PER_SECOND = 1_000;

/** Writes log lines. */
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

  /** Writes one line, unless there are too many. */
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

  /** Writes an error that a port met and that no request shows. */
  error(error: unknown, text: string): void {
    this.logger.error({ err: error }, text);
  }

  /** Writes the error that stops the process. */
  fatal(error: unknown): void {
    this.logger.fatal({ err: error }, 'broken invariant');
    this.flushNow();
  }

  /** Hands on what waits. */
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
