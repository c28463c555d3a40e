/** @module Parts of an idempotency key, and their text form. */

/** Parts of a key: it names one target and one incarnation of the sidecar beside it. */
export interface IdempotencyKeyParts {
  readonly targetId: string;
  readonly incarnation: string;
  /** Sequence number among the keys of this incarnation, from 1. */
  readonly sequence: number;
  /** Authentication code that only the issuing incarnation can check. */
  readonly mac: string;
}

const KEY_PATTERN = /^k1\.([\w-]{1,64})\.([0-9a-z]{1,32})\.([1-9]\d{0,14})\.([\w-]{43})$/;

/**
 * Formats a key as text.
 *
 * @example
 * formatKey({ targetId: 'enrolment-1', incarnation: 'x3f', sequence: 7, mac });
 */
export const formatKey = ({ targetId, incarnation, sequence, mac }: IdempotencyKeyParts): string =>
  `k1.${targetId}.${incarnation}.${sequence}.${mac}`;

/**
 * Parses a key; undefined if the text is not well-formed. Does not verify the `mac`.
 *
 * @example
 * parseKey('k1.enrolment-1.x3f.7.abc…')?.targetId; // 'enrolment-1'
 */
export const parseKey = (text: string): IdempotencyKeyParts | undefined => {
  const [, targetId, incarnation, sequence, mac] = KEY_PATTERN.exec(text) ?? [];
  if (
    targetId === undefined ||
    incarnation === undefined ||
    sequence === undefined ||
    mac === undefined
  ) {
    return undefined;
  }
  return { targetId, incarnation, sequence: Number(sequence), mac };
};
