/** @module Starts an entry process. */
import { ProcessRole } from '@ebonysill/core';
import { createEntryServices } from '@ebonysill/entry';
import { deriveCallerBounds } from '@ebonysill/http';
import type { EntrySettings } from '@ebonysill/settings';
import { CallerPort, ConfigurationPort, type ProcessHost } from '@ebonysill/transport';
import readPage from './readPage.js';
import { startProcess, type ProcessAddresses, type RunningProcess } from './running-process.js';

/** Program, stacks and heap of an entry process that serves ordinary callers. */
const PROCESS_MB = 120;

/** Ports of an entry process; the serving port is for callers. */
export type EntryAddresses = ProcessAddresses;

const listenToCallers = async (settings: EntrySettings, process: ProcessHost): Promise<number> =>
  (await process.callers?.listen(settings.host, settings.callerPort)) ?? 0;

/**
 * Starts an entry process from its settings.
 *
 * @example
 * const entry = await startEntry(settings);
 * await entry.drain();
 */
export const startEntry = (settings: EntrySettings): Promise<RunningProcess<EntryAddresses>> => {
  const { processId, availabilityZone, maxInProgress, seedSidecars, configurationUrl } = settings;
  const { memoryMb, fileDescriptors } = settings;
  return startProcess({
    processId,
    role: ProcessRole.Entry,
    availabilityZone,
    host: settings.host,
    adminPort: settings.adminPort,
    logLevel: settings.logLevel,
    linkSecret: settings.linkSecret,
    roleOptions: {
      createServices: (runtime) =>
        createEntryServices({
          runtime,
          processId,
          availabilityZone,
          isReader: settings.readsConfiguration,
          maxInProgress,
          seeds: seedSidecars,
        }),
      createCallerPort: (post, find, onDropped) =>
        CallerPort.create({
          post,
          readPage: (path) => readPage(path, find()),
          bounds: deriveCallerBounds({ memoryMb, fileDescriptors, processMb: PROCESS_MB }),
          onDropped,
        }),
      createConfigurationPort: (post) => ConfigurationPort.create(configurationUrl, post),
    },
    listen: (process) => listenToCallers(settings, process),
  });
};
