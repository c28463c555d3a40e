/** @module State of an engine that is a rank of a group, and the orders that change it. */

/** Experts that each rank holds, by layer set and rank. */
export type RankPlacement = readonly (readonly (readonly number[])[])[];

/** State of one rank. */
export interface RankReport {
  readonly groupName: string;
  /** Counts the times that the group has formed. */
  readonly epoch: number;
  readonly rank: number;
  readonly rankCount: number;
  /** False while the group is broken. */
  readonly isOpen: boolean;
  /** Last pass that was begun. */
  readonly step: number;
  /** Version of the map in use. */
  readonly mapVersion: number;
  /** Version whose experts are copied, or 0. */
  readonly preparedVersion: number;
  /** Version that takes effect at a later pass, or 0. */
  readonly armedVersion: number;
  /** Pass that does not begin before it is released, or 0. */
  readonly heldStep: number;
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Over 1 when the engine is slow. */
  readonly pace: number;
}

/** The experts that one rank holds. */
export interface RankExperts {
  readonly mapVersion: number;
  /** Under that version, by layer set. */
  readonly experts: readonly (readonly number[])[];
}

/** How often one rank chose each expert, and the experts that it holds. */
export interface RankCounts extends RankExperts {
  readonly epoch: number;
  /** By layer set and expert, since the engine started. */
  readonly counts: readonly (readonly number[])[];
}

/** How often one rank chose each expert since its last report, and the experts that it holds. */
export interface RankCountDelta extends RankExperts {
  /** By layer set and expert, in multiples of `unit`, which keeps messages short. */
  readonly counts: readonly (readonly number[])[];
  readonly unit: number;
}

/** What an order does. */
export enum OrderKind {
  /** Copies the experts of a new map. */
  Prepare = 'prepare',
  /** Switches to a prepared map when a pass begins. */
  Arm = 'arm',
  /** Cancels an arm order. */
  Disarm = 'disarm',
  /** Stops the group before a pass. */
  Hold = 'hold',
  /** Lets a held pass begin. */
  Release = 'release',
}

/** An order to an engine. */
export type Order =
  | {
      readonly kind: OrderKind.Prepare;
      readonly epoch: number;
      readonly version: number;
      readonly placement: RankPlacement;
    }
  | {
      readonly kind: OrderKind.Arm;
      readonly epoch: number;
      readonly version: number;
      readonly step: number;
    }
  | { readonly kind: OrderKind.Disarm; readonly epoch: number; readonly version: number }
  | {
      readonly kind: OrderKind.Hold | OrderKind.Release;
      readonly epoch: number;
      readonly step: number;
    };

/** How an engine answered an order. */
export enum OrderOutcome {
  /** Execution has begun, or the engine was in the requested state already. */
  Accepted = 'accepted',
  /** The engine's state does not allow it. */
  Refused = 'refused',
  /** No answer: it may have been executed, or may still be. */
  Unknown = 'unknown',
}
