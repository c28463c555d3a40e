/** @module Decides which calls are safe to repeat. */
import { ServiceKind, type ServiceConfiguration } from '@ebonysill/core';

const SAFE_METHODS: readonly string[] = ['GET', 'HEAD'];

/**
 * Whether a call of a service is idempotent. All calls of a model service are; calls of a plain
 * service are if HTTP defines their method as safe or the configuration names them.
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
