/** @module Kinds of timers. */

/** Purpose of a timer. */
enum TimerKind {
  ConfigurationRead = 'configuration-read',
  RevisionAnnouncement = 'configuration-spread',
  LinkReopen = 'link-reopen',
  LinkCheck = 'link-check',
  RequestDeadline = 'request-deadline',
  RetryDelay = 'retry-delay',
  QueueTimeout = 'queue-timeout',
  RunDeadline = 'run-deadline',
  TargetHealth = 'target-health',
  Hedge = 'hedge',
  KeyLinger = 'key-linger',
  MapChange = 'map-change',
  MapRecovery = 'map-recovery',
}

export default TimerKind;
