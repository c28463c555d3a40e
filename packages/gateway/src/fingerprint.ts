/** @module Short digests by which texts and requests are compared. */
import type { CallerRequest } from './exchange-data.js';

/** Parameters of FNV-1a for 32 bits. */
const FNV_OFFSET = 0x811c9dc5;

const FNV_PRIME = 0x01000193;

const mix = (hash: number, byte: number): number =>
  // eslint-disable-next-line no-bitwise -- the digest is defined by bits
  Math.imul(hash ^ byte, FNV_PRIME) >>> 0;

/**
 * FNV-1a digest of the UTF-16 code units of a text.
 *
 * @example
 * digestOf('gateway-1');
 */
export const digestOf = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = mix(hash, text.charCodeAt(index));
  }
  return hash;
};

/** Bytes at each end of a body by which a returning request is recognised. */
const RETURN_BODY_BYTES = 1_024;

/**
 * Digest by which a refused request is recognised when its caller retries it. It covers only the
 * ends of a long body, because it is computed for each refusal.
 *
 * @example
 * returnDigestOf(request) === returnDigestOf({ ...request, attemptId: 'another' }); // true
 */
export const returnDigestOf = ({ method, path, credential = '', body }: CallerRequest): number => {
  const head = digestOf(`${method} ${path} ${credential} ${body.length}`);
  const begin = body.subarray(0, RETURN_BODY_BYTES).reduce(mix, head);
  return body.subarray(RETURN_BODY_BYTES).subarray(-RETURN_BODY_BYTES).reduce(mix, begin);
};

/**
 * Identifies a request by what stays the same when its caller retries it: method, path, credential
 * and body.
 *
 * @example
 * fingerprintOf(request) === fingerprintOf({ ...request, attemptId: 'another' }); // true
 */
export const fingerprintOf = ({ method, path, credential = '', body }: CallerRequest): string => {
  const head = digestOf(`${method} ${path} ${credential}`);
  const content = body.reduce(mix, FNV_OFFSET);
  return `${head}-${content}-${body.length}`;
};
