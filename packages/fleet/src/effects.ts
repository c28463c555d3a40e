/** @module Builders of common effects. */
import {
  EffectKind,
  type ClearTimerEffect,
  type Message,
  type SendEffect,
  type SetTimerEffect,
  type TimerKind,
} from '@ebonysill/core';

/**
 * Builds the effect that sends a message on a link.
 *
 * @example
 * send(peer.linkId, { kind: MessageKind.Cancel, runId });
 */
export const send = (linkId: string, message: Message): SendEffect => ({
  kind: EffectKind.Send,
  linkId,
  message,
});

/**
 * Builds the effect that starts a timer.
 *
 * @example
 * setTimer(TimerKind.RetryDelay, exchangeId, 50);
 */
export const setTimer = (timer: TimerKind, key: string, delayMs: number): SetTimerEffect => ({
  kind: EffectKind.SetTimer,
  timer,
  key,
  delayMs,
});

/**
 * Builds the effect that stops a timer.
 *
 * @example
 * clearTimer(TimerKind.RetryDelay, exchangeId);
 */
export const clearTimer = (timer: TimerKind, key: string): ClearTimerEffect => ({
  kind: EffectKind.ClearTimer,
  timer,
  key,
});
