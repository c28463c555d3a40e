/** @module What a gateway knew when it decided on a request that had to wait. */

/** How a request left the queue. */
export enum WaitOutcome {
  Started = 'started',
  /** Its expected start was too late when it came. */
  TooLate = 'too-late',
  /** More urgent requests came, after which its expected start was too late. */
  Displaced = 'displaced',
  /** It waited as long as it might. */
  Expired = 'expired',
  QueueFull = 'queue-full',
  Draining = 'draining',
  /** No target of the service is left. */
  PoolLost = 'pool-lost',
}

/** Inputs of the decision, for the log. */
export interface WaitTrace {
  readonly waitOutcome: WaitOutcome;
  readonly waitedMs: number;
  /** Requests that were ahead of it. */
  readonly aheadCount: number;
  /** Requests of its service that waited at this gateway. */
  readonly waitingCount: number;
  /** Requests of all gateways that end at the service. */
  readonly endsPerSecond: number;
  /** Age of the oldest report of another gateway that was used. */
  readonly reportAgeMs: number;
}
