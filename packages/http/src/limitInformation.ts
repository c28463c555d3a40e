/** @module Bounds the informational heads before an answer. */
import type { ClientRequest } from 'node:http';

/** Sound servers send one or two; one that sends more never answers. */
const MAX_INFORMATIONAL_HEADS = 8;

/**
 * Calls a function when a server has sent too many informational heads; the caller ends the request.
 *
 * @example
 * limitInformation(outgoing, () => outgoing.destroy());
 */
const limitInformation = (outgoing: ClientRequest, onExceeded: () => void): void => {
  let count = 0;
  outgoing.on('information', () => {
    count += 1;
    if (count === MAX_INFORMATIONAL_HEADS + 1) {
      onExceeded();
    }
  });
};

export default limitInformation;
