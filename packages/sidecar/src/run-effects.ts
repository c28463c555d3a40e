/** @module Effects of a run on the target. */
import { EffectKind, LogLevel, LogTopic, TimerKind, type Effect } from '@ebonysill/core';
import { log, setTimer } from '@ebonysill/fleet';
import { RunState, type Run } from './run.js';

/** Time for a target to notice that a call was aborted. */
const ABORT_COOLDOWN_MS = 250;

/**
 * Starts a run on the target.
 *
 * @example
 * startRun(run, 'assistant-1');
 */
export const startRun = (run: Run, targetId: string): readonly Effect[] => {
  run.setState(RunState.Running);
  const { requestId, request, key, deliveredText } = run.message;
  return [
    log(LogLevel.Info, LogTopic.RunStarted, { requestId, targetId }),
    {
      kind: EffectKind.CallTarget,
      callId: run.callId,
      requestId,
      request,
      deliveredCount: run.resumeCount,
      ...(key === undefined ? {} : { idempotencyKey: key }),
      ...(deliveredText === undefined ? {} : { deliveredText }),
    },
  ];
};

/**
 * Aborts a run; it still counts as running for {@link ABORT_COOLDOWN_MS}, after which its
 * deadline timer, reset here, removes it.
 *
 * @example
 * abortRun(run);
 */
export const abortRun = (run: Run): readonly Effect[] => {
  run.unsubscribe(() => true);
  run.setState(RunState.Aborting);
  return [
    { kind: EffectKind.AbortTarget, callId: run.callId },
    setTimer(TimerKind.RunDeadline, run.callId, ABORT_COOLDOWN_MS),
  ];
};

/**
 * Pauses or resumes reading the target's answer, as the subscribers' credit requires.
 *
 * @example
 * pauseOrResume(run);
 */
export const pauseOrResume = (run: Run): readonly Effect[] => {
  if (!run.updatePause()) {
    return [];
  }
  const kind = run.isPaused ? EffectKind.PauseTarget : EffectKind.ResumeTarget;
  return [{ kind, callId: run.callId }];
};
