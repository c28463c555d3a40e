/**
 * @module Records of the idempotency keys that this incarnation minted.
 *
 * A key runs at most once because only the incarnation that minted it may run it, and that
 * incarnation records the key as running before anything is written to the target. The records are
 * bounded: the oldest answers are dropped first, then entire records, the oldest key first. The
 * floor is the highest sequence number that was dropped; at or below it, the outcome of a key without
 * a record is unknown.
 */
import {
  KeyState,
  KeyVerdict,
  Reason,
  ServiceName,
  notRun,
  unknown,
  type KeyDecision,
  type KeyLedgerApi,
  type KeyRecord,
  type MintDecision,
  TimerKind,
  type Effect,
  type Problem,
  type Registration,
  type Runtime,
} from '@ebonysill/core';
import { setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import { KeyOrigin, checkKey, issueKey, type KeyIssuer } from './key-codec.js';

/** Bounds of the ledger's memory. */
export interface KeyLedgerLimits {
  /** Number of the newest keys whose records are kept; older keys are refused. */
  readonly maxKeyCount: number;
  /** Total size of the recorded answers, whose chunks hold one character per byte. */
  readonly maxAnswerBytes: number;
}

export const DEFAULT_KEY_LEDGER_LIMITS: KeyLedgerLimits = {
  maxKeyCount: 65_536,
  maxAnswerBytes: 8 * 1_024 * 1_024,
};

/** Options of {@link keyLedgerRegistration}. */
export interface KeyLedgerOptions {
  readonly runtime: Runtime;
  readonly issuer: KeyIssuer;
  readonly limits: KeyLedgerLimits;
}

/** Time after the last mint during which a draining process still reports the outcome of keys. */
const LINGER_MS = 5_000;

const TIMER_KEY = 'ledger';

const REFUSALS: Readonly<Record<Exclude<KeyOrigin, KeyOrigin.ThisIncarnation>, Problem>> = {
  [KeyOrigin.OtherIncarnation]: unknown(
    Reason.KeyFromLostProcess,
    'the process that minted this key is gone, and its records with it',
  ),
  [KeyOrigin.Forged]: notRun(Reason.KeyForged, 'this key was not minted for this organisation'),
  [KeyOrigin.Malformed]: notRun(Reason.KeyMalformed, 'this is not an idempotency key'),
};

const RECORD_DROPPED = unknown(Reason.RecordDropped, 'the record of this key was dropped');

const OTHER_CONTENT = notRun(Reason.KeySpent, 'this key was used for another request');

const sizeOf = (record: KeyRecord): number =>
  (record.answer?.chunks ?? []).reduce((sizeBytes, chunk) => sizeBytes + chunk.length, 0);

class KeyLedgerService {
  readonly #records = new Map<number, KeyRecord>();

  /** Records that hold an answer, oldest first. */
  readonly #answered = new Set<number>();

  #answerBytes = 0;

  #lastSequence = 0;

  #lastMintMs = -Infinity;

  /** Keys up to this sequence number are refused unless they have a record. */
  #floor = 0;

  private constructor(private readonly options: KeyLedgerOptions) {}

  static create(options: KeyLedgerOptions): KeyLedgerService {
    return new KeyLedgerService(options);
  }

  readonly api: KeyLedgerApi = {
    mint: (organisationId) => this.#mint(organisationId),
    claim: (key, organisationId, fingerprint) => this.#claim(key, organisationId, fingerprint),
    void: (key, organisationId, problem) => this.#void(key, organisationId, problem),
    finish: (recordId, record) => this.#finish(recordId, record),
  };

  /**
   * Delays the end of the process, so that keys minted just before can still be voided. After the
   * end, their outcome is unknown.
   */
  drain(): readonly Effect[] {
    return this.isDrained() ? [] : [setTimer(TimerKind.KeyLinger, TIMER_KEY, this.#lingerMs())];
  }

  /** Whether the last key is old enough that its caller is no longer expected to send it. */
  isDrained(): boolean {
    return this.#lingerMs() <= 0;
  }

  #lingerMs(): number {
    return this.#lastMintMs + LINGER_MS - this.options.runtime.nowMs();
  }

  #mint(organisationId: string): MintDecision {
    if (!this.#makeRoom()) {
      return {
        kind: KeyVerdict.Refused,
        problem: notRun(Reason.RecordsFull, 'too many keyed calls are in progress'),
      };
    }
    this.#lastSequence += 1;
    this.#lastMintMs = this.options.runtime.nowMs();
    return {
      kind: KeyVerdict.Fresh,
      key: issueKey(this.options.issuer, organisationId, this.#lastSequence),
    };
  }

  #claim(key: string, organisationId: string, fingerprint: string): KeyDecision {
    const decision = this.#lookUp(key, organisationId);
    if (decision.kind === KeyVerdict.Fresh) {
      this.#records.set(decision.recordId, { state: KeyState.Running, fingerprint });
      return decision;
    }
    if (
      decision.kind === KeyVerdict.Known &&
      !KeyLedgerService.#matchesContent(decision.record, fingerprint)
    ) {
      return { kind: KeyVerdict.Refused, problem: OTHER_CONTENT };
    }
    return decision;
  }

  #void(key: string, organisationId: string, problem: Problem): KeyDecision {
    const decision = this.#lookUp(key, organisationId);
    if (decision.kind === KeyVerdict.Fresh) {
      this.#records.set(decision.recordId, { state: KeyState.NotRun, fingerprint: '', problem });
    }
    return decision;
  }

  #lookUp(key: string, organisationId: string): KeyDecision {
    const { origin, sequence } = checkKey(this.options.issuer, organisationId, key);
    if (origin !== KeyOrigin.ThisIncarnation) {
      return { kind: KeyVerdict.Refused, problem: REFUSALS[origin] };
    }
    const record = this.#records.get(sequence);
    if (record !== undefined) {
      return { kind: KeyVerdict.Known, recordId: sequence, record };
    }
    return sequence <= this.#floor
      ? { kind: KeyVerdict.Refused, problem: RECORD_DROPPED }
      : { kind: KeyVerdict.Fresh, recordId: sequence };
  }

  #finish(recordId: number, record: KeyRecord): void {
    this.#records.set(recordId, record);
    if (record.answer !== undefined) {
      this.#answered.add(recordId);
      this.#answerBytes += sizeOf(record);
      this.#dropAnswers();
    }
  }

  /** Drops the oldest key if the ledger is full; false while that key's call is in progress. */
  #makeRoom(): boolean {
    if (this.#lastSequence - this.#floor < this.options.limits.maxKeyCount) {
      return true;
    }
    const oldest = this.#floor + 1;
    if (this.#records.get(oldest)?.state === KeyState.Running) {
      return false;
    }
    this.#dropAnswer(oldest);
    this.#records.delete(oldest);
    this.#floor = oldest;
    return true;
  }

  #dropAnswers(): void {
    while (this.#answerBytes > this.options.limits.maxAnswerBytes) {
      const [oldest] = this.#answered;
      this.#dropAnswer(oldest as number);
    }
  }

  #dropAnswer(recordId: number): void {
    const record = this.#records.get(recordId);
    if (record !== undefined && this.#answered.delete(recordId)) {
      this.#answerBytes -= sizeOf(record);
      this.#records.set(recordId, { state: record.state, fingerprint: record.fingerprint });
    }
  }

  /** Whether a record allows a request: its key was not run, or was used for the same request. */
  static #matchesContent(record: KeyRecord, fingerprint: string): boolean {
    return record.state === KeyState.NotRun || record.fingerprint === fingerprint;
  }
}

/**
 * Registers the key ledger.
 *
 * @example
 * keyLedgerRegistration({ runtime, issuer, limits: DEFAULT_KEY_LEDGER_LIMITS });
 */
export const keyLedgerRegistration = (
  options: KeyLedgerOptions,
): Registration<ServiceName.KeyLedger> => ({
  name: ServiceName.KeyLedger,
  requires: [],
  create: () => {
    const service = KeyLedgerService.create(options);
    return createInstance(service.api, {
      drain: () => service.drain(),
      isDrained: () => service.isDrained(),
    });
  },
});
