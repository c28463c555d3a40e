/** @module Runs a process from its settings file until a signal drains it. */
import { readFile } from 'node:fs/promises';
import {
  SettingsVerdict,
  describeProblem,
  parseSettings,
  type SettingsResult,
} from '@ebonysill/settings';
import type { ProcessAddresses, RunningProcess } from './running-process.js';

/** Exit code if the settings are invalid or the process cannot start: EX_CONFIG of sysexits. */
export const EXIT_CONFIGURATION = 78;

/** Settings file, its schema, and the function that starts the process. */
export interface BinaryOptions<TSettings> {
  readonly file: string;
  readonly schema: Parameters<typeof parseSettings<TSettings>>[0];
  readonly start: (settings: TSettings) => Promise<RunningProcess<ProcessAddresses>>;
}

const reportConfigurationErrors = (lines: readonly string[]): void => {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = EXIT_CONFIGURATION;
};

const readSettings = async <TSettings>({
  file,
  schema,
}: BinaryOptions<TSettings>): Promise<SettingsResult<TSettings> | undefined> => {
  try {
    return parseSettings(schema, await readFile(file, 'utf8'), file);
  } catch {
    return undefined;
  }
};

const drainOnSignal = (running: RunningProcess<ProcessAddresses>): void => {
  const drain = (): void => {
    running.drain().catch((error: unknown) => {
      process.stderr.write(`${String(error)}\n`);
      process.exitCode = 1;
    });
  };
  process.once('SIGTERM', drain);
  process.once('SIGINT', drain);
};

/**
 * Runs one process: reads its settings, starts it, and drains it on SIGTERM or SIGINT.
 *
 * @example
 * await runBinary({ file: 'entry.jsonc', schema: entrySettingsSchema, start: startEntry });
 */
export const runBinary = async <TSettings>(options: BinaryOptions<TSettings>): Promise<void> => {
  const result = await readSettings(options);
  if (result === undefined) {
    reportConfigurationErrors([`${options.file}: the file cannot be read`]);
    return;
  }
  if (result.kind === SettingsVerdict.Refused) {
    reportConfigurationErrors(result.problems.map(describeProblem));
    return;
  }
  try {
    const running = await options.start(result.value);
    drainOnSignal(running);
    process.stdout.write(`${JSON.stringify({ listening: running.addresses })}\n`);
  } catch (error) {
    reportConfigurationErrors([
      `${options.file}: ${error instanceof Error ? error.message : String(error)}`,
    ]);
  }
};
