/** @module What happened lately to the requests of each priority, by service. */
import type { YieldQuestion } from '@ebonysill/scheduling';

/** Time after which a wait no longer bounds those of less urgent requests. */
const WAIT_EXPIRY_MS = 1_000;

interface PriorityRecord {
  readonly waitMs: number;
  readonly waitAtMs: number;
  readonly refusedAtMs: number;
  readonly startedAtMs: number;
}

const NOTHING: PriorityRecord = {
  waitMs: Number.POSITIVE_INFINITY,
  waitAtMs: Number.NEGATIVE_INFINITY,
  refusedAtMs: Number.NEGATIVE_INFINITY,
  startedAtMs: Number.NEGATIVE_INFINITY,
};

/** Keeps the last wait, refusal and start of each priority. */
export default class PriorityRecords {
  /** By service, then by priority. */
  readonly #records = new Map<string, Map<number, PriorityRecord>>();

  private constructor(private readonly nowMs: () => number) {}

  /**
   * Creates records of nothing.
   *
   * @example
   * const records = PriorityRecords.create(runtime.nowMs);
   */
  static create(nowMs: () => number): PriorityRecords {
    return new PriorityRecords(nowMs);
  }

  /** Records how long a request may wait, or might have waited. */
  recordWait(service: string, priority: number, waitMs: number): void {
    this.#update(service, priority, { waitMs, waitAtMs: this.nowMs() });
  }

  /** Records that a request was refused for lack of a place. */
  recordRefusal(service: string, priority: number): void {
    this.#update(service, priority, { refusedAtMs: this.nowMs() });
  }

  /** Records that a request started. */
  recordStart(service: string, priority: number): void {
    this.#update(service, priority, { startedAtMs: this.nowMs() });
  }

  /** Shortest recent wait of more urgent requests; infinite without any. */
  shortestWaitAbove(service: string, priority: number): number {
    const sinceMs = this.nowMs() - WAIT_EXPIRY_MS;
    const waits = this.#above(service, priority)
      .filter(({ waitAtMs }) => waitAtMs > sinceMs)
      .map(({ waitMs }) => waitMs);
    return Math.min(Number.POSITIVE_INFINITY, ...waits);
  }

  /** What decides whether a request of this priority leaves a place to more urgent ones. */
  yieldQuestionOf(service: string, priority: number): YieldQuestion {
    const refusals = this.#above(service, priority).map(({ refusedAtMs }) => refusedAtMs);
    const { startedAtMs } = this.#records.get(service)?.get(priority) ?? NOTHING;
    const nowMs = this.nowMs();
    return {
      sinceUrgentRefusalMs: nowMs - Math.max(Number.NEGATIVE_INFINITY, ...refusals),
      sinceOwnStartMs: nowMs - startedAtMs,
    };
  }

  #above(service: string, priority: number): readonly PriorityRecord[] {
    return [...(this.#records.get(service) ?? [])]
      .filter(([other]) => other < priority)
      .map(([, record]) => record);
  }

  #update(service: string, priority: number, changes: Partial<PriorityRecord>): void {
    const records = this.#records.get(service) ?? new Map<number, PriorityRecord>();
    records.set(priority, { ...(records.get(priority) ?? NOTHING), ...changes });
    this.#records.set(service, records);
  }
}
