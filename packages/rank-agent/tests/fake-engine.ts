/** @module A fake engine that is a rank of a group. */
import type { RankPlacement } from '@ebonysill/gateway';

/** Ranks of the group. */
export const RANK_COUNT = 4;

/** Experts of its one layer set. */
export const EXPERT_COUNT = 8;

/** A map whose experts are copied, or will be. */
export interface PreparedMap {
  readonly version: number;
  readonly placement: RankPlacement;
  readonly readyAtMs: number;
}

const INITIAL_PLACEMENT: RankPlacement = [
  Array.from({ length: RANK_COUNT }, (_, rank) =>
    Array.from({ length: EXPERT_COUNT }, (_expert, expert) => expert).filter(
      (expert) => expert % RANK_COUNT === rank,
    ),
  ),
];

/** One engine. */
export class FakeEngine {
  mapVersion = 0;

  placement = INITIAL_PLACEMENT;

  prepared: PreparedMap | undefined;

  armed: { readonly version: number; readonly step: number } | undefined;

  heldStep = 0;

  readonly counts = Array.from({ length: EXPERT_COUNT }, () => 0);

  /** Changes map if it is armed for this step. */
  begin(step: number): void {
    if (this.armed?.step === step && this.prepared !== undefined) {
      this.mapVersion = this.armed.version;
      this.placement = this.prepared.placement;
      this.armed = undefined;
    }
  }

  /** Counts the choices of a pass in which one expert is popular. */
  count(popularExpert: number): void {
    this.counts.forEach((count, expert) => {
      this.counts[expert] = count + (expert === popularExpert ? 1_000 : 100);
    });
  }

  /** Copies a map. */
  prepare(prepared: PreparedMap): void {
    this.prepared = prepared;
  }

  /** Is to change map as a step begins. */
  arm(version: number, step: number): void {
    this.armed = { version, step };
  }
}
