/** @module Seeds that failed once, kept as regression cases. */

/** A run that failed once. */
export interface Regression {
  readonly seed: number;
  readonly durationMs: number;
  /** What was at fault. */
  readonly cause: string;
}

/** Every seed that ever failed. */
export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 101,
    durationMs: 15_000,
    cause: 'the proxy of the soak let bytes overtake delayed ones when the delay ended',
  },
];
