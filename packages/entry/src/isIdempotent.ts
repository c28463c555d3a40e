/** @module Decides which calls may be repeated without harm. */
import { ServiceKind, type ServiceConfiguration } from '@ebonysill/core';

const SAFE_METHODS: readonly string[] = ['GET', 'HEAD'];

/**
 * Whether a call of a service is idempotent. Calls that the configuration does not name are not,
 * unless HTTP defines their method as safe.
 *
 * @example
 * isIdempotent(service, 'GET', '/inventory/7'); // true
 */
const isIdempotent = (service: ServiceConfiguration, method: string, path: string): boolean =>
  service.kind === ServiceKind.Model ||
  SAFE_METHODS.includes(method) ||
  service.idempotentCalls.some(
    (call) => call.method === method && path.startsWith(call.pathPrefix),
  );

export default isIdempotent;
