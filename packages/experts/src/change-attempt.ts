/** @module One attempt of a driver to change, or to settle, the map of a group. */
import { ChangeState, type ExpertMap, type GateState, type MapChange } from '@ebonysill/core';

/** What an attempt waits for. */
export enum AttemptPhase {
  /** For the state of every gate. */
  Querying = 'querying',
  /** For every rank to hold the new map. */
  Preparing = 'preparing',
  /** For every gate to know the decision. */
  Deciding = 'deciding',
}

/** The decision that other gates have already acted on, if any. */
type FindDecided = (gates: readonly GateState[]) => MapChange | undefined;

const findLatest = (gates: readonly GateState[]): GateState | undefined =>
  gates.reduce<GateState | undefined>(
    (latest, gate) => (latest === undefined || gate.lastStep > latest.lastStep ? gate : latest),
    undefined,
  );

/**
 * The change that some gate has committed, or under which some rank has begun a step that others
 * have not.
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

/** Follows one attempt under one fencing number. */
export class ChangeAttempt {
  #phase = AttemptPhase.Querying;

  #change: MapChange | undefined;

  readonly #gates = new Map<string, GateState>();

  readonly #answered = new Set<string>();

  private constructor(
    readonly fence: number,
    /** Map to change to; undefined to settle only what is open. */
    readonly proposal: ExpertMap | undefined,
  ) {}

  /**
   * Creates an attempt that queries.
   *
   * @example
   * const attempt = ChangeAttempt.create(33, proposedMap);
   */
  static create(fence: number, proposal: ExpertMap | undefined): ChangeAttempt {
    return new ChangeAttempt(fence, proposal);
  }

  /** What the attempt waits for. */
  get phase(): AttemptPhase {
    return this.#phase;
  }

  /** The change that is prepared or was decided. */
  get change(): MapChange | undefined {
    return this.#change;
  }

  /** States of the gates that have answered. */
  get gates(): readonly GateState[] {
    return [...this.#gates.values()];
  }

  /** Ranks that have answered in the present phase. */
  get answeredCount(): number {
    return this.#answered.size;
  }

  /** Whether a rank has answered in the present phase. */
  hasAnswered(rankId: string): boolean {
    return this.#answered.has(rankId);
  }

  /** Notes a gate's state. */
  recordState(rankId: string, gate: GateState): void {
    this.#gates.set(rankId, gate);
    this.#answered.add(rankId);
  }

  /** Notes an answer. */
  recordAnswer(rankId: string): void {
    this.#answered.add(rankId);
  }

  /** Goes on to the next phase. */
  enter(phase: AttemptPhase, change: MapChange | undefined): void {
    this.#phase = phase;
    this.#change = change;
    this.#answered.clear();
  }
}
