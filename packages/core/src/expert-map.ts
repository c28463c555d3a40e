/** @module Which ranks hold which experts, and the change from one map to the next. */

/** Placement of experts on ranks, for each layer. */
export interface ExpertMap {
  /** 0 is the map with which the group started. */
  readonly mapId: number;
  /** By layer and expert: numbers of the ranks that hold the expert, at least one. */
  readonly layers: readonly (readonly (readonly number[])[])[];
}

/** A change of map: which map takes effect at which step. */
export interface MapChange {
  readonly map: ExpertMap;
  /** First step that runs on the map. */
  readonly atStep: number;
}

/** Progress of a map change at a rank's gate. */
export enum ChangeState {
  /** No change is in progress. */
  None = 'none',
  /** The rank has loaded the weights; the gate holds the step `atStep` until the decision. */
  Prepared = 'prepared',
  /** The change takes effect at `atStep`. */
  Committed = 'committed',
}

/** State of a rank's gate, as reported to a group driver. */
export interface GateState {
  readonly state: ChangeState;
  readonly change: MapChange | undefined;
  /** Map of the last step that the gate allowed to begin. */
  readonly current: ExpertMap;
  /** Last step that the gate allowed to begin; -1 before the first. */
  readonly lastStep: number;
}
