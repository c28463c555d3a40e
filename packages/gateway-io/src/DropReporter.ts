/** @module Log lines of the gateway about what it gives up for callers. */
import { LogLevel, LogTopic, log, type LogEffect } from '@ebonysill/gateway';
import { CauseReporter } from '@ebonysill/http';

/** Options of a reporter. */
export interface DropReporterOptions {
  /** Writes one line. */
  readonly write: (line: LogEffect) => void;
  /** Counts one drop. */
  readonly count: (cause: string) => void;
}

/** Reporters that write lines of the gateway. */
const DropReporter = {
  /**
   * Creates a reporter.
   *
   * @example
   * const drops = DropReporter.create({ write: processHost.perform, count: metrics.recordDropped });
   */
  create: ({ write, count }: DropReporterOptions): CauseReporter =>
    CauseReporter.create({
      count,
      write: (reason, dropCount) =>
        write(log(LogLevel.Warn, LogTopic.CallersDropped, { reason, count: dropCount })),
    }),
};

export default DropReporter;
