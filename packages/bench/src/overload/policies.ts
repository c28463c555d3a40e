/** @module The policies that the experiment compares. */
import {
  AdmissionVerdict,
  Feature,
  decisionsOf,
  type ChooseTarget,
  type GatewayOptions,
} from '@ebonysill/gateway';

/** Decisions of a gateway, by the name of their policy. */
export interface Policy {
  readonly name: string;
  readonly decisions: Partial<GatewayOptions>;
}

/** Least loaded by the gateway's own counts; undefined when these fill all targets. */
const chooseByOwnCounts: ChooseTarget = ({ candidates, loads, random }) =>
  candidates
    .map((target) => ({ target, count: loads.ownCountAt(target.instanceId), tie: random() }))
    .filter(({ target, count }) => count < target.slots)
    .sort((left, right) => left.count - right.count || left.tie - right.tie)[0]?.target;

/** This policy, the one before, and a naive one. */
export const POLICIES: readonly Policy[] = [
  { name: 'scheduling', decisions: decisionsOf([Feature.Scheduling]) },
  { name: 'before', decisions: {} },
  {
    name: 'naive',
    decisions: {
      chooseTarget: chooseByOwnCounts,
      decideAdmission: () => AdmissionVerdict.Admitted,
      isStalled: () => false,
    },
  },
];
