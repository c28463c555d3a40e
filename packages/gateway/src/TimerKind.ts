/** @module Kinds of timers. */

/** What a timer is for. */
enum TimerKind {
  RequestDeadline = 'request-deadline',
  QueueCheck = 'queue-check',
  StalledCallers = 'stalled-callers',
  StallCheck = 'stall-check',
  StoreRetry = 'store-retry',
  LapseCheck = 'lapse-check',
  Membership = 'membership',
  LoadBroadcast = 'load-spread',
  SuspectReport = 'suspect-report',
  NoticeReport = 'notice-report',
  PeerQuery = 'peer-query',
  DrainEnd = 'drain-end',
  RankReport = 'rank-report',
  ExpertCount = 'expert-count',
  MapChange = 'map-change',
}

export default TimerKind;
