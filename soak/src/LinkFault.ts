/** @module Faults that a proxy injects into connections. */

enum LinkFault {
  None = 'none',
  /** Bytes are delayed in both directions. */
  Delayed = 'delayed',
  /** Open and new connections are reset. */
  Reset = 'reset',
  /** Answers are dropped; after its first dropped answer a connection forwards nothing more. */
  OneWay = 'one-way',
  /** Open connections stay open but never forward bytes again; new connections work. */
  Silenced = 'silenced',
  /**
   * No bytes are forwarded, although new connections are accepted. A connection that lost bytes
   * never forwards bytes again.
   */
  Dark = 'dark',
}

export default LinkFault;
