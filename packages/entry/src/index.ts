/** @module Public interface of the entry process's services. */
export { createEntryServices, type EntryOptions } from './create-entry-services.js';
export {
  chooseAny,
  chooseCheapest,
  chooseLeastReported,
  chooseOfTwo,
  type Candidate,
  type ChooseTarget,
} from './choose-target.js';
