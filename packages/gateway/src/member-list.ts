/** @module Lists of members with a digest, so that an unchanged list is not sent again. */
import type { Member } from './peer-message.js';

/** Members that one process tells another. */
export interface MemberList {
  readonly members: readonly Member[];
  readonly digest: number;
}

/** Parameters of FNV-1a for 32 bits. */
const FNV_OFFSET = 0x811c9dc5;

const FNV_PRIME = 0x01000193;

const digestOf = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- the digest is defined by bits
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
};

/**
 * Lists members; lists of the same members have the same digest, whatever their order.
 *
 * @example
 * buildMemberList([gateway, agent]).digest;
 */
export const buildMemberList = (members: readonly Member[]): MemberList => {
  const texts = members.map(({ name, role, address, availabilityZone, serviceName, groupName }) =>
    [name, role, address, availabilityZone, serviceName, groupName].join(),
  );
  return { members, digest: digestOf(texts.sort().join(';')) };
};
