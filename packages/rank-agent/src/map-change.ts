/** @module State of one change of a group's expert map. */
import { OrderKind, OrderOutcome, type RankPlacement, type RankReport } from '@ebonysill/gateway';

import type { KnownRank } from './GroupView.js';

/** Phase of a change. */
export enum ChangePhase {
  /** Ranks copy the experts that are new to them. */
  Preparing = 'preparing',
  /** Every agent is asked for its state, as a held pass would have to wait for a silent agent. */
  Checking = 'checking',
  /** Another rank's engine is ordered to hold a pass, and its agent asked to confirm the hold. */
  Holding = 'holding',
  /** Ranks are asked to switch to the new map at the held pass. */
  Arming = 'arming',
  /** All ranks are armed or, after an abort, none is; the pass may begin. */
  Releasing = 'releasing',
  /** Ranks are asked to disarm and to keep the current map. */
  Aborting = 'aborting',
}

/** Options of a change. */
export interface MapChangeOptions {
  readonly epoch: number;
  readonly version: number;
  readonly placement: RankPlacement;
  /** Rank whose engine holds the pass at which the map changes. */
  readonly holderRank: number;
  /** Highest step that this driver has held before; a delayed release may still end such a hold. */
  readonly lastHeldStep: number;
  readonly nowMs: () => number;
}

/** Tracks the phase, the chosen pass and the pending requests of one change. */
export class MapChange {
  readonly startedAtMs: number;

  #phase = ChangePhase.Preparing;

  #phaseStartedAtMs: number;

  #step = 0;

  #requestedAtMs = Number.NEGATIVE_INFINITY;

  /** Time of the last prepare request, by rank. */
  readonly #rankRequestedAtMs = new Map<number, number>();

  #directOrderAtMs = Number.NEGATIVE_INFINITY;

  #holdOrderedStep = 0;

  #holdOrderedAtMs = 0;

  #isReleased = false;

  /** Ranks whose engines have accepted a direct arm order, which bypasses the agent. */
  readonly #armedDirectly = new Set<number>();

  private constructor(private readonly options: MapChangeOptions) {
    this.startedAtMs = options.nowMs();
    this.#phaseStartedAtMs = this.startedAtMs;
  }

  /**
   * Creates a change in its first phase.
   *
   * @example
   * const change = MapChange.create({ epoch: 1, version: 1_024, placement, holderRank: 1, lastHeldStep: 0, nowMs });
   */
  static create(options: MapChangeOptions): MapChange {
    return new MapChange(options);
  }

  get epoch(): number {
    return this.options.epoch;
  }

  get version(): number {
    return this.options.version;
  }

  get placement(): RankPlacement {
    return this.options.placement;
  }

  get phase(): ChangePhase {
    return this.#phase;
  }

  /** Pass at which the map changes; 0 until it is chosen. */
  get step(): number {
    return this.#step;
  }

  get holderRank(): number {
    return this.options.holderRank;
  }

  /** Whether the holder's engine has accepted a direct release order. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Whether a rank is armed, as its agent reports or as its engine has answered a direct order. */
  isArmed({ rank, armedVersion }: RankReport): boolean {
    return armedVersion === this.version || this.#armedDirectly.has(rank);
  }

  /** Enters a phase; the first request of the phase is due at once. */
  enter(phase: ChangePhase): void {
    this.#phase = phase;
    this.#phaseStartedAtMs = this.options.nowMs();
    this.#requestedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** When the phase began. */
  get phaseStartedAtMs(): number {
    return this.#phaseStartedAtMs;
  }

  sincePhaseStartMs(): number {
    return this.options.nowMs() - this.#phaseStartedAtMs;
  }

  /** Whether requests are due, at most once per `intervalMs`; true restarts the interval. */
  isRequestDue(intervalMs: number): boolean {
    const nowMs = this.options.nowMs();
    if (nowMs - this.#requestedAtMs < intervalMs) {
      return false;
    }
    this.#requestedAtMs = nowMs;
    return true;
  }

  /** Returns up to `count` of the ranks, none of them again within `intervalMs`. */
  takeRanksDue(
    ranks: readonly KnownRank[],
    intervalMs: number,
    count: number,
  ): readonly KnownRank[] {
    const nowMs = this.options.nowMs();
    const dueRanks = ranks
      .filter(
        ({ report }) =>
          nowMs - (this.#rankRequestedAtMs.get(report.rank) ?? Number.NEGATIVE_INFINITY) >=
          intervalMs,
      )
      .slice(0, count);
    dueRanks.forEach(({ report }) => this.#rankRequestedAtMs.set(report.rank, nowMs));
    return dueRanks;
  }

  /**
   * Whether direct orders to engines are due: first `intervalMs` after the phase began, then at
   * most once per `intervalMs`. True restarts the interval.
   */
  isDirectOrderDue(intervalMs: number): boolean {
    const nowMs = this.options.nowMs();
    const sinceMs = nowMs - Math.max(this.#phaseStartedAtMs, this.#directOrderAtMs);
    if (sinceMs < intervalMs) {
      return false;
    }
    this.#directOrderAtMs = nowMs;
    return true;
  }

  /** Whether a hold order for a step is due, at most once per `intervalMs` for the same step. */
  isHoldOrderDue(step: number, intervalMs: number): boolean {
    const nowMs = this.options.nowMs();
    if (step === this.#holdOrderedStep && nowMs - this.#holdOrderedAtMs < intervalMs) {
      return false;
    }
    this.#holdOrderedStep = step;
    this.#holdOrderedAtMs = nowMs;
    return true;
  }

  /** Chooses the pass to hold; an earlier choice stays until that pass has begun. */
  chooseStep(currentStep: number, leadPasses: number): number {
    if (this.#step <= currentStep) {
      this.#step = Math.max(currentStep + leadPasses, this.options.lastHeldStep + 1);
    }
    return this.#step;
  }

  /** Records an engine's answer to a direct order. */
  recordDirectOutcome(rank: number, kind: OrderKind, outcome: OrderOutcome): void {
    if (outcome !== OrderOutcome.Accepted) {
      return;
    }
    switch (kind) {
      case OrderKind.Arm:
        this.#armedDirectly.add(rank);
        break;
      case OrderKind.Release:
        this.#isReleased = true;
        break;
      default:
    }
  }
}
