/** @module Placement policies that are compared. */
import { StartAnnouncement, chooseLeastLoaded, type ChooseTarget } from '@ebonysill/gateway';
import { chooseByWork } from '@ebonysill/scheduling';

/** Which loads a policy is given. */
export enum Knowledge {
  /** Own loads at once, others as reported. */
  Reported = 'reported',
  /** The unread tokens and the requests that are at each rank now. */
  Perfect = 'perfect',
}

/** A policy by the name under which it is printed. */
export interface Policy {
  readonly name: string;
  readonly knowledge: Knowledge;
  readonly choose: ChooseTarget;
  readonly startAnnouncement: StartAnnouncement;
}

const chooseAny: ChooseTarget = ({ candidates, random }) => {
  const free = candidates.filter(({ runningCount, slots }) => runningCount < slots);
  return free[Math.floor(random() * free.length)];
};

/** Least unread tokens, then fewest requests. */
const chooseLeastUnread: ChooseTarget = ({ candidates }) =>
  candidates
    .filter(({ runningCount, slots }) => runningCount < slots)
    .sort(
      (left, right) => left.workTokens - right.workTokens || left.runningCount - right.runningCount,
    )[0];

/** Places by outstanding work. */
export const BY_WORK: Policy = {
  name: 'by work',
  knowledge: Knowledge.Reported,
  choose: chooseByWork,
  startAnnouncement: StartAnnouncement.TargetAndEnds,
};

/** Places by the number of requests. */
export const PREVIOUS: Policy = {
  name: 'previous',
  knowledge: Knowledge.Reported,
  choose: chooseLeastLoaded,
  startAnnouncement: StartAnnouncement.Target,
};

/** Places at random where there is a free slot. */
export const RANDOM: Policy = {
  name: 'random',
  knowledge: Knowledge.Reported,
  choose: chooseAny,
  startAnnouncement: StartAnnouncement.Target,
};

/** Places by what is at the ranks at that moment, as a bound. */
export const PERFECT: Policy = {
  name: 'perfect knowledge',
  knowledge: Knowledge.Perfect,
  choose: chooseLeastUnread,
  startAnnouncement: StartAnnouncement.Target,
};

/** All policies. */
export const POLICIES: readonly Policy[] = [BY_WORK, PREVIOUS, RANDOM, PERFECT];
