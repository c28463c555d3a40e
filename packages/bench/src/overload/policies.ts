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
  /** Whether gateways hear of each other's load; if not, they know their own counts alone. */
  readonly sharesLoads: boolean;
}

/** Least loaded by known counts; undefined when these fill all targets. */
const chooseByCounts: ChooseTarget = ({ candidates, random }) =>
  candidates
    .filter(({ runningCount, slots }) => runningCount < slots)
    .map((candidate) => ({ candidate, tie: random() }))
    .sort(
      (left, right) =>
        left.candidate.runningCount - right.candidate.runningCount || left.tie - right.tie,
    )[0]?.candidate;

/** This policy, the one before, and a naive one. */
export const POLICIES: readonly Policy[] = [
  { name: 'scheduling', decisions: decisionsOf([Feature.Scheduling]), sharesLoads: true },
  { name: 'before', decisions: {}, sharesLoads: true },
  {
    name: 'naive',
    sharesLoads: false,
    decisions: {
      chooseTarget: chooseByCounts,
      decideAdmission: () => AdmissionVerdict.Admitted,
      isStalled: () => false,
    },
  },
];
