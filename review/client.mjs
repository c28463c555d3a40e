/** @module A stand-in for a client: one request on a new connection. */
import { request } from 'node:http';

let attemptCount = 0;

/** An id that no other attempt has. */
export const newAttemptId = () => {
  attemptCount += 1;
  return `a${process.pid.toString(16)}-${attemptCount}`;
};

/**
 * Sends one request of a client on a new connection and resolves with what the client saw:
 * `{ id, sentAtMs, answeredAtMs, status, headers, body, isComplete, error }`.
 */
export const sendRequest = ({
  address,
  path,
  host,
  method = 'GET',
  key,
  remainingMs = 3_000,
  body = '',
}) =>
  new Promise((resolve) => {
    const [ip, port] = address.split(':');
    const result = { id: newAttemptId(), path, key, sentAtMs: performance.now() };
    const finish = (more) =>
      resolve({ ...result, status: 0, ...more, answeredAtMs: performance.now() });
    const outgoing = request({
      host: ip,
      port: Number(port),
      path,
      method,
      agent: false,
      headers: {
        host,
        'x-ebonysill-attempt-id': result.id,
        'x-ebonysill-deadline-remaining': String(remainingMs),
        ...(key === undefined ? {} : { 'x-ebonysill-key': key }),
        ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('time limit')), remainingMs);
    outgoing.on('response', (answer) => {
      const chunks = [];
      const end = (error) => {
        clearTimeout(timer);
        finish({
          status: answer.statusCode,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString('latin1'),
          isComplete: answer.complete,
          ...(error === undefined ? {} : { error: error.message }),
        });
      };
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('end', () => end());
      answer.on('error', end);
    });
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      finish({ error: error.message });
    });
    outgoing.end(body);
  });
