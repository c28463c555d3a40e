/** @module Error for a broken invariant of the program, which stops the process. */
import ModernError from 'modern-errors';

/**
 * Thrown when an invariant of the program itself is broken, which is a bug. Not to be handled: the
 * process must stop.
 *
 * @example
 * throw new InvariantError('service "routing" is not registered');
 */
const InvariantError = ModernError.subclass('InvariantError');

export default InvariantError;
