/** @module Tells answers from other bytes that the parser takes for answers. */
import type { IncomingMessage } from 'node:http';

/** The parser passes on any number; lower ones are interim answers or no statuses at all. */
const MIN_FINAL_STATUS = 200;

const MAX_STATUS = 599;

/**
 * Whether the status of an answer is a final one; an answer with another status has failed.
 *
 * @example
 * outgoing.on('response', (answer) => hasFinalStatus(answer) || fail());
 */
const hasFinalStatus = ({ statusCode = 0 }: IncomingMessage): boolean =>
  statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_STATUS;

export default hasFinalStatus;
