/**
 * @module Watches the memory of a process as a host counts it: with the bytes that were received for it and
 * that it has not read.
 */
import { readFile, readdir } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';

/** The process, and the ports on which it listens. */
export interface WatchedProcess {
  readonly processId: number;
  readonly ports: readonly number[];
}

/** Largest values since the start of the watch. */
export interface MemoryPeaks {
  /** Resident set, as the system recorded it. */
  readonly residentMb: number;
  /** Resident set and bytes not read together, in one sample. */
  readonly hostMb: number;
  readonly descriptorCount: number;
}

const SAMPLE_INTERVAL_MS = 10;

const KB_PER_MB = 1_024;

const BYTES_PER_MB = 1_048_576;

const HEXADECIMAL = 16;

/** State of a socket in the table of the system. */
const LISTENING = '0A';

const LOCAL_ADDRESS_FIELD = 1;

const STATE_FIELD = 3;

const QUEUES_FIELD = 4;

/** Bytes in the receive queues of the connections to some ports, accepted or not. */
const readUnreadBytes = async (ports: readonly number[]): Promise<number> => {
  const lines = (await readFile('/proc/net/tcp', 'utf8')).split('\n').slice(1);
  return lines
    .map((line) => line.trim().split(/\s+/))
    .filter((fields) => {
      const [, port = ''] = fields[LOCAL_ADDRESS_FIELD]?.split(':') ?? [];
      return ports.includes(parseInt(port, HEXADECIMAL)) && fields[STATE_FIELD] !== LISTENING;
    })
    .map((fields) => parseInt(fields[QUEUES_FIELD]?.split(':')[1] ?? '0', HEXADECIMAL))
    .reduce((sum, sizeBytes) => sum + sizeBytes, 0);
};

const readMemoryMb = async (processId: number, field: 'VmRSS' | 'VmHWM'): Promise<number> => {
  const status = await readFile(`/proc/${processId}/status`, 'utf8');
  const [, memoryKb = ''] = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status) ?? [];
  return Number(memoryKb) / KB_PER_MB;
};

/** Samples one process until it is stopped. */
export default class MemoryWatch {
  #isStopped = false;

  #hostMb = 0;

  #descriptorCount = 0;

  readonly #ended: Promise<void>;

  private constructor(private readonly watched: WatchedProcess) {
    this.#ended = this.#sample();
  }

  /**
   * Creates a watch that has begun.
   *
   * @example
   * const watch = MemoryWatch.create({ processId, ports: [8_227] });
   * const { hostMb } = await watch.stop();
   */
  static create(watched: WatchedProcess): MemoryWatch {
    return new MemoryWatch(watched);
  }

  /** Ends the watch; rejects when the process has exited. */
  async stop(): Promise<MemoryPeaks> {
    this.#isStopped = true;
    await this.#ended;
    const residentMb = await readMemoryMb(this.watched.processId, 'VmHWM');
    return { residentMb, hostMb: this.#hostMb, descriptorCount: this.#descriptorCount };
  }

  async #sample(): Promise<void> {
    const { processId, ports } = this.watched;
    try {
      const residentMb = await readMemoryMb(processId, 'VmRSS');
      const unreadMb = (await readUnreadBytes(ports)) / BYTES_PER_MB;
      const { length } = await readdir(`/proc/${processId}/fd`);
      this.#hostMb = Math.max(this.#hostMb, residentMb + unreadMb);
      this.#descriptorCount = Math.max(this.#descriptorCount, length);
    } catch {
      // The process has exited, which `stop` reports.
      return;
    }
    if (!this.#isStopped) {
      await delay(SAMPLE_INTERVAL_MS);
      await this.#sample();
    }
  }
}
