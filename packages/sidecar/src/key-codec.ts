/** @module Builds and checks the text of idempotency keys. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { formatKey, parseKey } from '@ebonysill/core';

/** The sidecar incarnation that mints keys, with the secret of their MACs. */
export interface KeyIssuer {
  readonly targetId: string;
  readonly incarnation: string;
  /** Known to this incarnation alone. */
  readonly secret: string;
}

/** Origin of a presented key. */
export enum KeyOrigin {
  /** Minted by this incarnation for the organisation that presents it. */
  ThisIncarnation = 'ours',
  OtherIncarnation = 'other-incarnation',
  /** Names this incarnation, but its MAC is not valid for the organisation that presents it. */
  Forged = 'forged',
  Malformed = 'malformed',
}

/** A presented key after checking; the sequence is -1 unless this incarnation minted the key. */
export interface CheckedKey {
  readonly origin: KeyOrigin;
  readonly sequence: number;
}

const macOf = (issuer: KeyIssuer, organisationId: string, sequence: number): string =>
  createHmac('sha256', issuer.secret)
    .update(`${organisationId}\n${issuer.incarnation}\n${sequence}`)
    .digest('base64url');

/**
 * Builds the text of the key that an issuer mints with this sequence number.
 *
 * @example
 * issueKey(issuer, 'org-1', 7); // 'k1.enrolment-1.x3f….7.Zm9v…'
 */
export const issueKey = (issuer: KeyIssuer, organisationId: string, sequence: number): string =>
  formatKey({
    targetId: issuer.targetId,
    incarnation: issuer.incarnation,
    sequence,
    mac: macOf(issuer, organisationId, sequence),
  });

/**
 * Checks a presented key against the issuer.
 *
 * @example
 * checkKey(issuer, 'org-1', key).origin === KeyOrigin.ThisIncarnation;
 */
export const checkKey = (issuer: KeyIssuer, organisationId: string, key: string): CheckedKey => {
  const parsed = parseKey(key);
  if (parsed === undefined) {
    return { origin: KeyOrigin.Malformed, sequence: -1 };
  }
  if (parsed.targetId !== issuer.targetId || parsed.incarnation !== issuer.incarnation) {
    return { origin: KeyOrigin.OtherIncarnation, sequence: -1 };
  }
  const expected = Buffer.from(macOf(issuer, organisationId, parsed.sequence));
  const presented = Buffer.from(parsed.mac);
  const isMacValid = expected.length === presented.length && timingSafeEqual(expected, presented);
  return isMacValid
    ? { origin: KeyOrigin.ThisIncarnation, sequence: parsed.sequence }
    : { origin: KeyOrigin.Forged, sequence: -1 };
};
