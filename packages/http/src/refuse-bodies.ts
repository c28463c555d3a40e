/** @module Refuses requests with bodies at servers whose requests take none. */
import type { IncomingMessage, RequestListener } from 'node:http';
import { DropCause } from './ByteBudget.js';

/** The request has not been handled. */
const PAYLOAD_TOO_LARGE = 413;

/**
 * Whether a request announces a body.
 *
 * @example
 * hasBody(request); // true for `Transfer-Encoding: chunked`
 */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/**
 * Creates a listener that answers requests with a body at once and closes their connections, without
 * reading the body; `listener` gets the others.
 *
 * @example
 * createServer(refuseBodies(answer, onDropped));
 */
export const refuseBodies =
  (listener: RequestListener, onDropped: (cause: DropCause) => void): RequestListener =>
  (request, response) => {
    if (!hasBody(request)) {
      listener(request, response);
      return;
    }
    onDropped(DropCause.UnexpectedBody);
    response.shouldKeepAlive = false;
    response.writeHead(PAYLOAD_TOO_LARGE, { 'content-length': 0 });
    response.end();
  };
