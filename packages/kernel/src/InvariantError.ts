/** @module The one error that stops a process: a broken invariant. */
import ModernError from 'modern-errors';

/**
 * Thrown when an invariant of the program itself is broken. Nothing catches it.
 *
 * @example
 * throw new InvariantError('service "routing" is not registered');
 */
const InvariantError = ModernError.subclass('InvariantError');

export default InvariantError;
