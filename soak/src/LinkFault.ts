/** @module Faults of connections that pass through a proxy. */

/** What a proxy does to connections. */
enum LinkFault {
  None = 'none',
  /** Bytes arrive late in both directions. */
  Delayed = 'delayed',
  /** Open connections are reset, and new ones as well. */
  Reset = 'reset',
  /** Requests pass, answers do not. */
  OneWay = 'one-way',
  /** Open connections pass nothing for good, without a reset; new ones work. */
  Silenced = 'silenced',
  /** Nothing passes, and new connections get no further than the proxy. */
  Dark = 'dark',
}

export default LinkFault;
