/** @module Checks whether a process listens at an address. */
import { connect } from 'node:net';
import { TargetReachability } from '@ebonysill/gateway';

/** Signature of {@link checkReachability}. */
type CheckReachability = (
  address: string,
  timeoutMs: number,
  onResult: (reachability: TargetReachability) => void,
) => void;

/**
 * Opens a connection and closes it without sending anything; calls `onResult` once.
 *
 * @example
 * checkReachability('10.1.0.40:8080', 300, (reachability) => post({ kind, instanceId, reachability }));
 */
const checkReachability: CheckReachability = (address, timeoutMs, onResult) => {
  const [host = '', port = ''] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  let isDone = false;
  const finish = (reachability: TargetReachability): void => {
    if (!isDone) {
      isDone = true;
      socket.destroy();
      onResult(reachability);
    }
  };
  socket.setTimeout(timeoutMs, () => finish(TargetReachability.Silent));
  socket.on('connect', () => finish(TargetReachability.Listening));
  socket.on('error', ({ code }: NodeJS.ErrnoException) =>
    finish(code === 'ECONNREFUSED' ? TargetReachability.Refusing : TargetReachability.Silent),
  );
};

export default checkReachability;
