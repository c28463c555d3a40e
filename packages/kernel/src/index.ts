/** @module Public interface of the micro-kernel. */
export { Inbox, type InboxOptions } from './inbox.js';
export { Kernel, type KernelOptions } from './kernel.js';
export { default as InvariantError } from './InvariantError.js';
export {
  createInstance,
  type Find,
  type NamedRegistration,
  type ServiceBehaviour,
  type ServiceInstance,
  type ServiceRegistration,
} from './service.js';
export { startOrder } from './start-order.js';
