/** @module Builds the effects that many services use. */
import {
  EffectKind,
  type ClearTimerEffect,
  type LogEffect,
  type LogFields,
  type LogLevel,
  type LogTopic,
  type SendToPeerEffect,
  type SetTimerEffect,
} from './effect.js';
import type { PeerMessage } from './peer-message.js';
import type TimerKind from './TimerKind.js';

/**
 * Builds the effect that starts a timer.
 *
 * @example
 * setTimer(TimerKind.RequestDeadline, exchangeId, 8_000);
 */
export const setTimer = (timer: TimerKind, key: number, delayMs: number): SetTimerEffect => ({
  kind: EffectKind.SetTimer,
  timer,
  key,
  delayMs,
});

/**
 * Builds the effect that stops a timer.
 *
 * @example
 * clearTimer(TimerKind.RequestDeadline, exchangeId);
 */
export const clearTimer = (timer: TimerKind, key: number): ClearTimerEffect => ({
  kind: EffectKind.ClearTimer,
  timer,
  key,
});

/**
 * Builds the effect that writes one log line.
 *
 * @example
 * log(LogLevel.Info, LogTopic.MemberJoined, { memberName: 'gateway-2' });
 */
export const log = (level: LogLevel, topic: LogTopic, fields: LogFields): LogEffect => ({
  kind: EffectKind.Log,
  level,
  topic,
  fields,
});

/**
 * Builds the effect that sends a message to another process.
 *
 * @example
 * sendToPeer('10.1.0.40:7340', { kind: PeerMessageKind.Hello, member });
 */
export const sendToPeer = (address: string, message: PeerMessage): SendToPeerEffect => ({
  kind: EffectKind.SendToPeer,
  address,
  message,
});
