/** @module One change of a group's expert map, as far as it has come. */
import { OrderKind, OrderOutcome, type RankPlacement, type RankReport } from '@ebonysill/gateway';

import type { KnownRank } from './GroupView.js';

/** How far a change has come. */
export enum ChangePhase {
  /** Ranks copy the experts that are new to them. */
  Preparing = 'preparing',
  /** Every agent is asked for its state: a hold waits for none that does not answer. */
  Checking = 'checking',
  /** Another rank's engine is to hold a pass, and its agent to confirm that it keeps the hold. */
  Holding = 'holding',
  /** Ranks are asked to change map at the held pass. */
  Arming = 'arming',
  /** All ranks are armed; the pass may begin. */
  Releasing = 'releasing',
  /** Ranks are asked to keep the present map. */
  Aborting = 'aborting',
}

/** What a change is created from. */
export interface MapChangeOptions {
  readonly epoch: number;
  readonly version: number;
  readonly placement: RankPlacement;
  /** Rank whose engine holds the pass at which the map changes. */
  readonly holderRank: number;
  /** Highest step that this driver had held before; a late release may still end such a hold. */
  readonly lastHeldStep: number;
  readonly nowMs: () => number;
}

/** Follows one change. */
export class MapChange {
  readonly startedAtMs: number;

  #phase = ChangePhase.Preparing;

  #phaseAtMs: number;

  #step = 0;

  #askedAtMs = Number.NEGATIVE_INFINITY;

  /** When each rank was asked to prepare. */
  readonly #rankAskedAtMs = new Map<number, number>();

  #directOrderAtMs = Number.NEGATIVE_INFINITY;

  #orderedStep = 0;

  #orderedAtMs = 0;

  #isReleased = false;

  /** Ranks that were armed directly, past their agents. */
  readonly #armedDirectly = new Set<number>();

  private constructor(private readonly options: MapChangeOptions) {
    this.startedAtMs = options.nowMs();
    this.#phaseAtMs = this.startedAtMs;
  }

  /**
   * Creates a change whose ranks prepare.
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

  /** Pass at which the map changes; 0 before one is chosen. */
  get step(): number {
    return this.#step;
  }

  get holderRank(): number {
    return this.options.holderRank;
  }

  /** Whether the holder's engine confirmed the release past its agent. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Whether a rank is armed: as its agent told, or as its engine confirmed. */
  isArmed({ rank, armedVersion }: RankReport): boolean {
    return armedVersion === this.version || this.#armedDirectly.has(rank);
  }

  /** Goes on to a phase. */
  enter(phase: ChangePhase): void {
    this.#phase = phase;
    this.#phaseAtMs = this.options.nowMs();
    this.#askedAtMs = Number.NEGATIVE_INFINITY;
  }

  /** When the phase began. */
  get phaseAtMs(): number {
    return this.#phaseAtMs;
  }

  /** Time since the phase began. */
  sincePhaseMs(): number {
    return this.options.nowMs() - this.#phaseAtMs;
  }

  /** Whether to ask again, no more often than `intervalMs`; counts as asked when it is. */
  isRequestDue(intervalMs: number): boolean {
    const nowMs = this.options.nowMs();
    if (nowMs - this.#askedAtMs < intervalMs) {
      return false;
    }
    this.#askedAtMs = nowMs;
    return true;
  }

  /** Of some ranks, those to ask now: `count` at most, and none again within `intervalMs`. */
  takeRanksDue(
    ranks: readonly KnownRank[],
    intervalMs: number,
    count: number,
  ): readonly KnownRank[] {
    const nowMs = this.options.nowMs();
    const dueRanks = ranks
      .filter(
        ({ report }) =>
          nowMs - (this.#rankAskedAtMs.get(report.rank) ?? Number.NEGATIVE_INFINITY) >= intervalMs,
      )
      .slice(0, count);
    dueRanks.forEach(({ report }) => this.#rankAskedAtMs.set(report.rank, nowMs));
    return dueRanks;
  }

  /** Whether to pass agents by now, no more often than `intervalMs` and not before it. */
  isDirectOrderDue(intervalMs: number): boolean {
    const nowMs = this.options.nowMs();
    const sinceMs = nowMs - Math.max(this.#phaseAtMs, this.#directOrderAtMs);
    if (sinceMs < intervalMs) {
      return false;
    }
    this.#directOrderAtMs = nowMs;
    return true;
  }

  /** Whether to order the hold of a step, no more often than `intervalMs`; counts as ordered. */
  isHoldOrderDue(step: number, intervalMs: number): boolean {
    const nowMs = this.options.nowMs();
    if (step === this.#orderedStep && nowMs - this.#orderedAtMs < intervalMs) {
      return false;
    }
    this.#orderedStep = step;
    this.#orderedAtMs = nowMs;
    return true;
  }

  /** Chooses the pass to hold; one that was chosen before is kept while it can still be held. */
  chooseStep(presentStep: number, leadPasses: number): number {
    if (this.#step <= presentStep) {
      this.#step = Math.max(presentStep + leadPasses, this.options.lastHeldStep + 1);
    }
    return this.#step;
  }

  /** Takes an engine's answer to an order that was given past its agent. */
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
