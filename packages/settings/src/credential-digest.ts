/** @module Digest that the configuration holds in place of a credential. */
import { createHash } from 'node:crypto';

/** Function that computes the digest of a credential. */
export type Digest = (credential: string) => string;

/**
 * Returns the SHA-256 digest of a credential, in hexadecimal.
 *
 * @example
 * credentialDigest('secret'); // '2bb80d53…'
 */
export const credentialDigest: Digest = (credential) =>
  createHash('sha256').update(credential).digest('hex');
