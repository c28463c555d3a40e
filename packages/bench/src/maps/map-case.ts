/** @module Cases of the fault matrix for changes of the expert map. */
import { Step } from '@ebonysill/emulator';

/** A fault that can be injected while the expert map changes. */
export enum MapFault {
  CrashSender = 'crash-sender',
  RestartSender = 'restart-sender',
  PauseSender = 'pause-sender',
  RestartPeer = 'restart-peer',
  PausePeer = 'pause-peer',
  /** For a while, nothing passes between the sender of the step's message and its receiver. */
  PartitionPair = 'partition-pair',
  /** For a while, nothing passes between the process of the step and any other. */
  PartitionSender = 'partition-sender',
  MessageLost = 'message-lost',
  MessageDuplicated = 'message-doubled',
  MessageReordered = 'message-reordered',
  MessageLate = 'message-late',
}

/** Ranks whose drivers propose map changes. */
export enum Proposers {
  First = 'first rank',
  FirstTwo = 'first two ranks at once',
}

/** A fault, the step at which it is injected, the proposing ranks and a seed. */
export interface MapCase {
  readonly fault: MapFault;
  readonly step: Step;
  /** Which occurrence of the step, from 1. */
  readonly occurrence: number;
  readonly proposers: Proposers;
  readonly seed: number;
}

/** Steps of a map change, in order, and the answers that ranks get for each engine step. */
export const MAP_STEPS: readonly Step[] = [
  Step.MapQueried,
  Step.MapStateSent,
  Step.MapPrepareSent,
  Step.MapPrepared,
  Step.MapDecideSent,
  Step.MapDecided,
  Step.RankAnswered,
];

/**
 * The first occurrence of a step, one in the middle of a change, and two in later changes; with
 * five ranks, most steps occur four times in a change.
 */
const OCCURRENCES: readonly number[] = [1, 6, 9, 25];

/** Faults that need a message to a peer; `RankAnswered` sends none. */
const PEER_FAULTS: readonly MapFault[] = [
  MapFault.MessageLost,
  MapFault.MessageDuplicated,
  MapFault.MessageReordered,
  MapFault.MessageLate,
  MapFault.RestartPeer,
  MapFault.PausePeer,
  MapFault.PartitionPair,
];

const appliesTo = (fault: MapFault, step: Step): boolean =>
  step !== Step.RankAnswered || !PEER_FAULTS.includes(fault);

/** Formats the name of a map case. */
export type NameMapCase = (mapCase: MapCase) => string;

/**
 * Formats the name of a case, which identifies it in test failures.
 *
 * @example
 * nameOfMapCase(mapCase); // 'pause-sender@map-decide-sent #3, first rank, seed 1'
 */
export const nameOfMapCase: NameMapCase = ({ fault, step, occurrence, proposers, seed }) =>
  `${fault}@${step} #${occurrence}, ${proposers}, seed ${seed}`;

/**
 * Lists every fault at every step of a map change.
 *
 * @example
 * mapCases(1).length;
 */
export const mapCases = (seed: number): readonly MapCase[] =>
  Object.values(Proposers).flatMap((proposers) =>
    Object.values(MapFault).flatMap((fault) =>
      MAP_STEPS.filter((step) => appliesTo(fault, step)).flatMap((step) =>
        OCCURRENCES.map((occurrence) => ({ fault, step, occurrence, proposers, seed })),
      ),
    ),
  );
