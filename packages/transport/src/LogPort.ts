/** @module Structured log on standard output. */
import { LogLevel, type LogEffect } from '@ebonysill/core';
import { pino, type Logger } from 'pino';
import type { DropCount } from './DropCounters.js';

/** Writes log lines as JSON. */
export default class LogPort {
  private constructor(private readonly logger: Logger) {}

  /**
   * Creates a port that writes lines at or above a level to standard output.
   *
   * @example
   * const logs = LogPort.create('entry-1', 'info');
   */
  static create(processId: string, level: string): LogPort {
    return new LogPort(pino({ level, base: { processId } }));
  }

  write({ level, topic, fields }: LogEffect): void {
    switch (level) {
      case LogLevel.Debug:
        this.logger.debug(fields, topic);
        return;
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

  /** Logs what a listener has dropped for a cause since the last such line. */
  writeDropped({ listener, cause, count }: DropCount): void {
    this.logger.warn({ listener, reason: cause, count }, 'clients dropped');
  }

  /** Logs the error that stops the process. */
  fatal(error: unknown): void {
    this.logger.fatal({ err: error }, 'broken invariant');
  }
}
