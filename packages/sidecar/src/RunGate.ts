/** @module Decides whether a sidecar accepts a run at present. */
import {
  Reason,
  TargetState,
  notRun,
  type ConfigurationApi,
  type CrashSuspicion,
  type Problem,
  type SuspectsApi,
  type TargetMonitorApi,
} from '@ebonysill/core';

/** Runs that may wait, as a multiple of the concurrency limit. */
const WAITING_RATIO = 2;

interface GateSources {
  readonly configuration: ConfigurationApi;
  readonly suspects: SuspectsApi;
  readonly monitor: TargetMonitorApi;
}

/** Checks of a run before it is accepted; each returns the problem to refuse it with, if any. */
export default class RunGate {
  private constructor(
    private readonly targetId: string,
    private readonly sources: GateSources,
  ) {}

  /**
   * Creates the gate of one target.
   *
   * @example
   * const gate = RunGate.create('assistant-1', { configuration, suspects, monitor });
   */
  static create(targetId: string, sources: GateSources): RunGate {
    return new RunGate(targetId, sources);
  }

  /** Why the sidecar accepts no runs at all, if so. */
  closedProblem(isDraining: boolean): Problem | undefined {
    const { configuration, monitor } = this.sources;
    if (isDraining) {
      return notRun(Reason.Draining, 'the process beside the target is shutting down');
    }
    const target = configuration.target(this.targetId);
    if (target === undefined) {
      return notRun(Reason.NotReady, 'the target is not in the configuration');
    }
    if (!configuration.isInService(target.availabilityZone)) {
      return notRun(Reason.NoTarget, 'the availability zone is out of service');
    }
    if (monitor.state() === TargetState.Down) {
      return notRun(Reason.TargetLost, 'the target does not answer');
    }
    return undefined;
  }

  /**
   * Refuses requests that are known to crash targets, and accepts only one suspect at a time, so
   * that a crash shows which request caused it.
   */
  suspectProblem(fingerprint: string, otherFingerprints: readonly string[]): Problem | undefined {
    const { suspects } = this.sources;
    if (suspects.isRefused(fingerprint)) {
      return notRun(Reason.CrashSuspect, 'targets crashed while they ran this request');
    }
    const isSuspect = suspects.crashCount(fingerprint) > 0;
    if (isSuspect && otherFingerprints.some((other) => suspects.crashCount(other) > 0)) {
      return notRun(Reason.TargetBusy, 'another suspect request is in progress');
    }
    return undefined;
  }

  /** Refuses a run that the target could not start soon because its queue is full. */
  fullProblem(runningCount: number, waitingCount: number): Problem | undefined {
    const limit = this.sources.monitor.limit();
    const isFull = runningCount >= limit && waitingCount >= limit * WAITING_RATIO;
    return isFull ? notRun(Reason.TargetBusy, 'the queue of the target is full') : undefined;
  }

  /** The crash suspicion of a request, to be sent to peers; empty if there is none. */
  suspicionsOf(fingerprint: string): readonly CrashSuspicion[] {
    const crashCount = this.sources.suspects.crashCount(fingerprint);
    return crashCount === 0 ? [] : [{ fingerprint, crashCount }];
  }
}
