/** @module The map with which a group starts. */
import type { ExpertMap } from '@ebonysill/core';

/** Size of a group's experts. */
export interface GroupSize {
  readonly rankCount: number;
  readonly layerCount: number;
  readonly expertCount: number;
}

/**
 * Places experts on ranks in turn, one copy each.
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
