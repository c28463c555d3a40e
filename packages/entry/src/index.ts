/** @module Public interface of the entry process's services. */
export { createEntryServices, type EntryOptions } from './create-entry-services.js';
