/**
 * @module Bounds the bytes that connections have brought and that wait to be read as requests.
 *
 * Load pattern: many callers send more than the process can read, such as bodies in chunks of one byte. What
 * waits counts as memory of the host, both in the process and in the system's buffers of the connections.
 */

/** A connection that brings bytes. */
export interface UnreadConnection {
  /** Bytes that were received from the system and not read as requests. */
  readonly pendingBytes: () => number;
  /** Closes the connection. */
  readonly drop: () => void;
}

/** Behind a read of this size the system holds more. */
const FULL_READ_BYTES = 32_768;

/** What the system holds of a connection behind a full read. */
const SYSTEM_BUFFER_BYTES = 65_536;

/** Turns without a read after which the system holds nothing more. */
const MAX_QUIET_TURNS = 2;

interface Entry {
  readonly connection: UnreadConnection;
  pendingBytes: number;
  systemBytes: number;
  quietTurnCount: number;
}

/** Sums what waits on the connections of a process, and drops what exceeds the bound. */
export default class UnreadBytes {
  readonly #entries = new Map<UnreadConnection, Entry>();

  #sumBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * Creates a sum over no connections; `maxBytes` is for all of them together.
   *
   * @example
   * const unread = UnreadBytes.create(8_388_608);
   * unread.recordReceived(connection);
   */
  static create(maxBytes: number): UnreadBytes {
    return new UnreadBytes(maxBytes);
  }

  /** Bytes that wait on all connections. */
  get sumBytes(): number {
    return this.#sumBytes;
  }

  /** Whether connections count of which the system may hold nothing any more; `endTurn` decides. */
  get hasUncertain(): boolean {
    return [...this.#entries.values()].some(({ pendingBytes }) => pendingBytes === 0);
  }

  /** Records a read from the system, and drops the connections with most while too much waits. */
  recordReceived(connection: UnreadConnection): void {
    const pendingBytes = connection.pendingBytes();
    const systemBytes = pendingBytes < FULL_READ_BYTES ? 0 : SYSTEM_BUFFER_BYTES;
    this.#set({ connection, pendingBytes, systemBytes, quietTurnCount: 0 });
    while (this.#sumBytes > this.maxBytes) {
      const largest = this.#largest();
      this.remove(largest);
      largest.drop();
    }
  }

  /** Records that bytes of a connection were read as requests. */
  recordParsed(connection: UnreadConnection): void {
    const entry = this.#entries.get(connection);
    if (entry !== undefined) {
      this.#set({ ...entry, pendingBytes: connection.pendingBytes() });
    }
  }

  /** Forgets the connections of which nothing more has come. */
  endTurn(): void {
    this.#entries.forEach((entry) => {
      if (entry.pendingBytes === 0) {
        Object.assign(entry, { quietTurnCount: entry.quietTurnCount + 1 });
        if (entry.quietTurnCount > MAX_QUIET_TURNS) {
          this.remove(entry.connection);
        }
      }
    });
  }

  /** Forgets a connection. */
  remove(connection: UnreadConnection): void {
    const { pendingBytes = 0, systemBytes = 0 } = this.#entries.get(connection) ?? {};
    this.#sumBytes -= pendingBytes + systemBytes;
    this.#entries.delete(connection);
  }

  #set(entry: Entry): void {
    const { connection, pendingBytes, systemBytes } = entry;
    this.remove(connection);
    if (pendingBytes + systemBytes > 0) {
      this.#sumBytes += pendingBytes + systemBytes;
      this.#entries.set(connection, entry);
    }
  }

  #largest(): UnreadConnection {
    const sizeBytes = ({ pendingBytes, systemBytes }: Entry): number => pendingBytes + systemBytes;
    return [...this.#entries.values()].reduce((largest, entry) =>
      sizeBytes(entry) > sizeBytes(largest) ? entry : largest,
    ).connection;
  }
}
