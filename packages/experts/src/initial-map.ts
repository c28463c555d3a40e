/** @module Initial expert map of a group. */
import type { ExpertMap } from '@ebonysill/core';

/** Dimensions of a group. */
export interface GroupSize {
  readonly rankCount: number;
  readonly layerCount: number;
  readonly expertCount: number;
}

/**
 * Distributes the experts of each layer round-robin over the ranks, one copy each.
 *
 * @example
 * initialMap({ rankCount: 32, layerCount: 4, expertCount: 64 });
 */
export const initialMap = ({ rankCount, layerCount, expertCount }: GroupSize): ExpertMap => ({
  mapId: 0,
  layers: Array.from({ length: layerCount }, () =>
    Array.from({ length: expertCount }, (_, expert) => [expert % rankCount]),
  ),
});
