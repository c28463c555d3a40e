/** @module Fake of an engine that is a rank of a group. */
import type { RankPlacement } from '@ebonysill/gateway';

/** Number of ranks in the group. */
export const RANK_COUNT = 4;

/** Number of experts; the group has a single layer set. */
export const EXPERT_COUNT = 8;

/** A map whose experts are copied by `readyAtMs`. */
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

/** State of one fake engine. */
export class FakeEngine {
  mapVersion = 0;

  placement = INITIAL_PLACEMENT;

  prepared: PreparedMap | undefined;

  armed: { readonly version: number; readonly step: number } | undefined;

  heldStep = 0;

  readonly counts = Array.from({ length: EXPERT_COUNT }, () => 0);

  /** Begins a pass, and switches to the prepared map if armed for this step. */
  begin(step: number): void {
    if (this.armed?.step === step && this.prepared !== undefined) {
      this.mapVersion = this.armed.version;
      this.placement = this.prepared.placement;
      this.armed = undefined;
    }
  }

  /** Adds the activations of a pass: ten times as many for the popular expert. */
  count(popularExpert: number): void {
    this.counts.forEach((count, expert) => {
      this.counts[expert] = count + (expert === popularExpert ? 1_000 : 100);
    });
  }

  prepare(prepared: PreparedMap): void {
    this.prepared = prepared;
  }

  arm(version: number, step: number): void {
    this.armed = { version, step };
  }
}
