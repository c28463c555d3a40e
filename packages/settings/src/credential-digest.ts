/** @module Digest under which a credential stands in the configuration. */
import { createHash } from 'node:crypto';

/** Computes a digest. */
export type Digest = (credential: string) => string;

/**
 * SHA-256 of a credential, in hexadecimal.
 *
 * @example
 * credentialDigest('secret'); // '2bb80d53…'
 */
export const credentialDigest: Digest = (credential) =>
  createHash('sha256').update(credential).digest('hex');
