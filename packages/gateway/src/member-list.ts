/** @module Lists of members with a digest, so that an unchanged list is not sent again. */
import { digestOf } from './fingerprint.js';
import type { Member } from './peer-message.js';

/** Members that one process sends to another. */
export interface MemberList {
  readonly members: readonly Member[];
  readonly digest: number;
}

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
