/** @module Decides which calls are safe to repeat. */
import { ServiceKind, type ServiceConfiguration } from '@ebonysill/core';

const SAFE_METHODS: readonly string[] = ['GET', 'HEAD'];

/**
 * Whether a call of a service is idempotent. All calls of a model service are. Calls of a plain
 * service are if their method is GET or HEAD, which HTTP defines as safe, or if the configuration
 * lists their method with a prefix of their path.
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
