/** @module Tells an answer that ends with its connection from one that is cut by a reset. */
import type { IncomingMessage } from 'node:http';

/** Written to probe a connection: servers ignore empty lines before a request. */
const EMPTY_LINE = '\r\n';

/**
 * Rejects when an answer that ends with its connection was cut by a reset. Node reports a reset
 * that arrives together with the last bytes as an ordinary end; only a write reveals it. Resolves
 * at once for an answer with a length or in chunks.
 *
 * @example
 * const resetCheck = detectReset(answer);
 * answer.on('end', () => resetCheck.then(onComplete, onCut));
 */
const detectReset = async ({ headers, socket }: IncomingMessage): Promise<void> => {
  const isFramed =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (isFramed) {
    return;
  }
  await new Promise<void>((resolve, reject) => {
    socket.prependOnceListener('end', () => {
      socket.write(EMPTY_LINE, (error) => (error ? reject(error) : resolve()));
    });
    socket.once('close', () => resolve());
  });
};

export default detectReset;
