/** @module State of a driver's attempt to change a group's map, or to recover an open change. */
import { ChangeState, type ExpertMap, type GateState, type MapChange } from '@ebonysill/core';

/** Phase of an attempt, named by what it waits for. */
export enum AttemptPhase {
  /** For the state of every gate. */
  Querying = 'querying',
  /** For every rank to load the weights of the new map. */
  Preparing = 'preparing',
  /** For every gate to acknowledge the decision. */
  Deciding = 'deciding',
}

/** Derives a decision that gates have already acted on, if any. */
type FindDecided = (gates: readonly GateState[]) => MapChange | undefined;

const findLatest = (gates: readonly GateState[]): GateState | undefined =>
  gates.reduce<GateState | undefined>(
    (latest, gate) => (latest === undefined || gate.lastStep > latest.lastStep ? gate : latest),
    undefined,
  );

/**
 * Finds the change that some gate has committed. If there is none, but a rank that is behind uses
 * another map than the most advanced rank, returns the change that the latter must have applied.
 *
 * @example
 * findDecided(gates)?.atStep;
 */
export const findDecided: FindDecided = (gates) => {
  const committed = gates.find(({ state }) => state === ChangeState.Committed)?.change;
  if (committed !== undefined) {
    return committed;
  }
  const latest = findLatest(gates);
  const isAhead = gates.some(
    ({ current, lastStep }) =>
      lastStep < (latest?.lastStep ?? 0) && current.mapId !== latest?.current.mapId,
  );
  return latest !== undefined && isAhead
    ? { map: latest.current, atStep: latest.lastStep }
    : undefined;
};

/** One attempt, identified by its fencing number. */
export class ChangeAttempt {
  #phase = AttemptPhase.Querying;

  #change: MapChange | undefined;

  readonly #gates = new Map<string, GateState>();

  readonly #answered = new Set<string>();

  private constructor(
    readonly fence: number,
    /** Map to change to; undefined if only an open change is to be recovered. */
    readonly proposal: ExpertMap | undefined,
  ) {}

  /**
   * Creates an attempt in its first phase.
   *
   * @example
   * const attempt = ChangeAttempt.create(33, proposal);
   */
  static create(fence: number, proposal: ExpertMap | undefined): ChangeAttempt {
    return new ChangeAttempt(fence, proposal);
  }

  get phase(): AttemptPhase {
    return this.#phase;
  }

  /** The change that is prepared or decided; undefined while querying, or if nothing changes. */
  get change(): MapChange | undefined {
    return this.#change;
  }

  /** States of the gates that have answered. */
  get gates(): readonly GateState[] {
    return [...this.#gates.values()];
  }

  /** Number of ranks that have answered in the current phase. */
  get answeredCount(): number {
    return this.#answered.size;
  }

  /** Whether a rank has answered in the current phase. */
  hasAnswered(rankId: string): boolean {
    return this.#answered.has(rankId);
  }

  /** Records a gate's state, which answers the query. */
  recordState(rankId: string, gate: GateState): void {
    this.#gates.set(rankId, gate);
    this.#answered.add(rankId);
  }

  /** Records an answer in the current phase. */
  recordAnswer(rankId: string): void {
    this.#answered.add(rankId);
  }

  /** Enters a phase, in which no rank has answered yet. */
  enter(phase: AttemptPhase, change: MapChange | undefined): void {
    this.#phase = phase;
    this.#change = change;
    this.#answered.clear();
  }
}
