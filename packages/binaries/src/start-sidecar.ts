/** @module Starts a sidecar, the process beside a target. */
import { ProcessRole } from '@ebonysill/core';
import type { SidecarSettings } from '@ebonysill/settings';
import { createSidecarServices } from '@ebonysill/sidecar';
import { TargetPort } from '@ebonysill/transport';
import { startProcess, type ProcessAddresses, type RunningProcess } from './running-process.js';

/** Ports of a sidecar; the serving port is for links from entry processes. */
export type SidecarAddresses = ProcessAddresses;

/**
 * Starts a sidecar from its settings.
 *
 * @example
 * const sidecar = await startSidecar(settings);
 * await sidecar.drain();
 */
export const startSidecar = (
  settings: SidecarSettings,
): Promise<RunningProcess<SidecarAddresses>> => {
  const { targetId, availabilityZone, targetUrl } = settings;
  return startProcess({
    processId: targetId,
    role: ProcessRole.Sidecar,
    availabilityZone,
    host: settings.host,
    adminPort: settings.adminPort,
    logLevel: settings.logLevel,
    linkSecret: settings.linkSecret,
    roleOptions: {
      createServices: (runtime) => createSidecarServices({ runtime, targetId, availabilityZone }),
      createTargetPort: (post) => TargetPort.create(targetUrl, post),
    },
    listen: (process) => process.links.listen(settings.host, settings.linkPort),
  });
};
