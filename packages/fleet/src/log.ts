/** @module Builder of log effects. */
import {
  EffectKind,
  type LogEffect,
  type LogFields,
  type LogLevel,
  type LogTopic,
} from '@ebonysill/core';

/** Function that builds a log effect. */
type BuildLog = (level: LogLevel, topic: LogTopic, fields: LogFields) => LogEffect;

/**
 * Builds the effect that writes one log line.
 *
 * @example
 * log(LogLevel.Info, LogTopic.LinkUp, { peerId: 'target-1' });
 */
const log: BuildLog = (level, topic, fields) => ({
  kind: EffectKind.Log,
  level,
  topic,
  fields,
});

export default log;
