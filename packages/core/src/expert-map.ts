/** @module Which ranks hold which experts, and the change from one such map to the next. */

/** Placement of experts on ranks, for each layer. */
export interface ExpertMap {
  /** 0 is the map with which the group started. */
  readonly mapId: number;
  /** By layer and expert: numbers of the ranks that hold it; never empty. */
  readonly layers: readonly (readonly (readonly number[])[])[];
}

/** A change of map: which map takes effect at which step. */
export interface MapChange {
  readonly map: ExpertMap;
  /** First step that runs on the map. */
  readonly atStep: number;
}

/** How far a rank's gate has come with a change. */
export enum ChangeState {
  /** No change is under way. */
  None = 'none',
  /** The rank holds the weights and waits for the decision before the step. */
  Prepared = 'prepared',
  /** The change was decided. */
  Committed = 'committed',
}

/** What a rank's gate knows. */
export interface GateState {
  readonly state: ChangeState;
  readonly change: MapChange | undefined;
  /** Map of the last step that the gate let begin. */
  readonly current: ExpertMap;
  /** Last step that the gate let begin. */
  readonly lastStep: number;
}
