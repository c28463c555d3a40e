/** @module Bytes that a process keeps for its clients, with one budget for all of them. */
import { EvictionTier, decideEvictions, type DecideEvictions } from '@ebonysill/scheduling';

/** Why something that was kept for a client is given up. */
export enum DropCause {
  /** A body made no progress for its time. */
  BodyStalled = 'body-stalled',
  /** An answer was not read for its time. */
  AnswerStalled = 'answer-stalled',
  /** The budget of bytes was used up. */
  NoRoom = 'no-room',
  /** A body exceeds the limit of one body. */
  TooLarge = 'too-large',
  /** Too many bodies came in many small chunks at once. */
  Fragmented = 'small-chunks',
  /** The budget of connections was used up. */
  TooManyConnections = 'too-many-connections',
  /** A link was not authenticated in its time. */
  HandshakeStalled = 'handshake-stalled',
  /** Too many bytes of all clients waited to be read. */
  Unread = 'unread',
  /** A body came with a request that takes none. */
  UnexpectedBody = 'unexpected-body',
  /** Too many bytes waited for a peer that does not read. */
  NotRead = 'not-read',
}

/** What is kept for one body or one answer. */
export interface Holding {
  /** Sets the bytes that are kept now; may drop this holding or others. */
  readonly setSize: (sizeBytes: number) => void;
  /** Records that the client has sent or taken bytes. */
  readonly recordProgress: () => void;
  /** Exempts the holding from being dropped; its bytes count until it is released. */
  readonly keep: () => void;
  /** Ends the holding; has no effect after it was dropped or released. */
  readonly release: () => void;
}

/** Options of one holding. */
export interface HoldingOptions {
  /** Time without progress after which the holding is dropped, while it has bytes. */
  readonly stallTimeoutMs: number;
  readonly stallCause: DropCause;
  /** Called at most once, after the holding was released. */
  readonly drop: (cause: DropCause) => void;
  /** Called before each check, so that sizes that change by themselves are up to date. */
  readonly refresh?: () => void;
}

/** Options of a budget. */
export interface ByteBudgetOptions {
  readonly maxBytes: number;
  /** Monotonic clock. */
  readonly nowMs?: () => number;
  readonly decide?: DecideEvictions;
  /** Called for each holding that is dropped. */
  readonly onDropped?: (cause: DropCause) => void;
}

/** Interval at which holdings are checked for progress. */
export const CHECK_INTERVAL_MS = 250;

/** A longer time between two checks counts as this much: the process was suspended meanwhile. */
const MAX_CHECK_GAP_MS = 1_000;

interface Entry {
  readonly id: number;
  readonly options: HoldingOptions;
  sizeBytes: number;
  progressAtMs: number;
  isKept: boolean;
}

/** Counts what is kept for clients, and drops what stalls or has no room. */
export default class ByteBudget {
  readonly #entries = new Map<number, Entry>();

  readonly #options: Required<ByteBudgetOptions>;

  #usedBytes = 0;

  /** Bytes that cannot be dropped. */
  #keptBytes = 0;

  #nextId = 1;

  /** Time in which this process ran. */
  #runningMs = 0;

  #checkedAtMs: number;

  private constructor({
    maxBytes,
    nowMs = () => performance.now(),
    decide = decideEvictions,
    onDropped = () => undefined,
  }: ByteBudgetOptions) {
    this.#options = { maxBytes, nowMs, decide, onDropped };
    this.#checkedAtMs = nowMs();
  }

  /**
   * Creates a budget of which nothing is used; `check` has to be called regularly.
   *
   * @example
   * const budget = ByteBudget.create({ maxBytes: 28_000_000 });
   * setInterval(() => budget.check(), CHECK_INTERVAL_MS).unref();
   */
  static create(options: ByteBudgetOptions): ByteBudget {
    return new ByteBudget(options);
  }

  /** Bytes that are kept now. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether that many more bytes have room once everything is dropped that may be. */
  hasRoomFor(sizeBytes: number): boolean {
    return this.#keptBytes + sizeBytes <= this.#options.maxBytes;
  }

  /** Opens a holding without bytes. */
  open(options: HoldingOptions): Holding {
    const id = this.#nextId;
    this.#nextId += 1;
    const entry: Entry = {
      id,
      options,
      sizeBytes: 0,
      progressAtMs: this.#now(),
      isKept: false,
    };
    this.#entries.set(id, entry);
    return {
      setSize: (sizeBytes) => this.#setSize(entry, sizeBytes),
      recordProgress: () => {
        entry.progressAtMs = this.#now();
      },
      keep: () => {
        if (!entry.isKept && this.#entries.has(id)) {
          entry.isKept = true;
          this.#keptBytes += entry.sizeBytes;
        }
      },
      release: () => this.#remove(entry),
    };
  }

  /** Drops holdings that have made no progress for their time. */
  check(): void {
    this.#dropWhere(({ stallTimeoutMs }, stalledMs) => stalledMs > stallTimeoutMs);
  }

  /** Drops holdings of one cause that have made no progress for `minStallMs`. */
  dropStalled(cause: DropCause, minStallMs: number): void {
    this.#dropWhere(({ stallCause }, stalledMs) => stallCause === cause && stalledMs >= minStallMs);
  }

  #dropWhere(isDue: (options: HoldingOptions, stalledMs: number) => boolean): void {
    this.#advance();
    this.#entries.forEach((entry) => entry.options.refresh?.());
    const nowMs = this.#now();
    this.#entries.forEach((entry) => {
      const { sizeBytes, isKept, progressAtMs, options } = entry;
      if (sizeBytes > 0 && !isKept && isDue(options, nowMs - progressAtMs)) {
        this.#drop(entry, options.stallCause);
      }
    });
  }

  #advance(): void {
    const nowMs = this.#options.nowMs();
    this.#runningMs += Math.min(MAX_CHECK_GAP_MS, nowMs - this.#checkedAtMs);
    this.#checkedAtMs = nowMs;
  }

  #now(): number {
    const sinceCheckMs = this.#options.nowMs() - this.#checkedAtMs;
    return this.#runningMs + Math.min(MAX_CHECK_GAP_MS, sinceCheckMs);
  }

  #setSize(entry: Entry, sizeBytes: number): void {
    if (!this.#entries.has(entry.id)) {
      return;
    }
    const grownBytes = sizeBytes - entry.sizeBytes;
    Object.assign(entry, { sizeBytes });
    this.#usedBytes += grownBytes;
    this.#keptBytes += entry.isKept ? grownBytes : 0;
    if (this.#usedBytes > this.#options.maxBytes) {
      this.#evict();
    }
  }

  #evict(): void {
    const evictables = [...this.#entries.values()]
      .filter(({ isKept }) => !isKept)
      .map(({ id, sizeBytes, progressAtMs }) => ({
        id,
        tier: EvictionTier.Unfinished,
        cost: sizeBytes,
        progressAtMs,
      }));
    const { decide, maxBytes } = this.#options;
    decide(evictables, { used: this.#usedBytes, max: maxBytes }).forEach((id) => {
      const entry = this.#entries.get(id);
      if (entry !== undefined) {
        this.#drop(entry, DropCause.NoRoom);
      }
    });
  }

  #drop(entry: Entry, cause: DropCause): void {
    this.#remove(entry);
    entry.options.drop(cause);
    this.#options.onDropped(cause);
  }

  #remove(entry: Entry): void {
    if (this.#entries.delete(entry.id)) {
      this.#usedBytes -= entry.sizeBytes;
      this.#keptBytes -= entry.isKept ? entry.sizeBytes : 0;
    }
  }
}
