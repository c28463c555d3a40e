/** @module Draws the faults of a run and their times from a seeded random generator. */
import type { Random } from '@ebonysill/emulator';
import LinkFault from './LinkFault.js';

/** Faults, and the operator changes that are injected along with them. */
export enum SoakFaultKind {
  KillProcess = 'kill-process',
  PauseProcess = 'pause-process',
  TerminateProcess = 'terminate-process',
  /** The settings file is rewritten and the process gets SIGHUP. */
  ReloadProcess = 'reload-process',
  StoreLinkFault = 'harm-store-link',
  TargetLinkFault = 'harm-target-link',
  StoreDown = 'store-down',
  /** Watches after older revisions of the store fail. */
  StoreHistoryLost = 'store-forgets',
  /** A target runs requests but loses some of the answers. */
  LoseAnswers = 'lose-answers',
  /** Some orders to the engine group get no answer and are executed at once or later. */
  LateOrders = 'late-orders',
  /** The engine group restarts in a new epoch. */
  GroupRestarted = 'group-forms-anew',
  /** The entry of a target becomes draining, is removed and is published again. */
  TargetLeaves = 'target-leaves',
  ZoneOutOfService = 'zone-out',
  RevokeCredential = 'revoke-credential',
  /** The configuration is published with a higher version and the same content. */
  ChangeConfiguration = 'change-configuration',
  /** The store comes back from a copy; then what was lost is written again. */
  StoreRestored = 'store-restored',
  /** A target names a limit on its requests. */
  TargetLimited = 'target-limited',
  /** A target answers every request with bytes without end, in small or in large chunks. */
  EndlessAnswers = 'endless-answers',
  /** Some items of the configuration cannot be read. */
  BrokenConfiguration = 'broken-configuration',
}

export interface SoakFault {
  readonly kind: SoakFaultKind;
  /** Start, counted from the start of fault injection. */
  readonly atMs: number;
  /** Duration; ignored by kinds that take effect at once or have a duration of their own. */
  readonly spanMs: number;
  /** Selects the affected component, modulo the number of candidates for the kind. */
  readonly componentIndex: number;
  /** Fault of the proxy, for the two link kinds. */
  readonly linkFault: LinkFault;
}

/**
 * Mean time between the starts of two faults. As faults last for seconds, several usually overlap.
 */
const MEAN_GAP_MS = 700;

const MIN_SPAN_MS = 300;

const MAX_SPAN_MS = 3_500;

/** Share of faults that repeat the kind of the fault before them on the next component. */
const REPEAT_SHARE = 0.25;

/** All kinds of faults. */
export const SOAK_FAULT_KINDS: readonly SoakFaultKind[] = Object.values(SoakFaultKind);

const LINK_FAULTS = Object.values(LinkFault).filter((fault) => fault !== LinkFault.None);

const drawFrom = <T>(values: readonly T[], random: Random): T =>
  values[Math.floor(random() * values.length)] as T;

/**
 * Draws the faults of a run, in order of time; the same generator state and kinds give the same
 * faults.
 *
 * @example
 * drawFaults(createRandom(7), 20_000);
 */
export const drawFaults = (
  random: Random,
  durationMs: number,
  kinds: readonly SoakFaultKind[] = SOAK_FAULT_KINDS,
): readonly SoakFault[] => {
  const faults: SoakFault[] = [];
  let atMs = random() * MEAN_GAP_MS;
  while (atMs < durationMs) {
    const previous = faults.at(-1);
    const isRepeat = previous !== undefined && random() < REPEAT_SHARE;
    faults.push({
      kind: isRepeat ? previous.kind : drawFrom(kinds, random),
      atMs,
      spanMs: MIN_SPAN_MS + random() * (MAX_SPAN_MS - MIN_SPAN_MS),
      componentIndex: isRepeat ? previous.componentIndex + 1 : Math.floor(random() * kinds.length),
      linkFault: drawFrom(LINK_FAULTS, random),
    });
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return faults;
};
