/** @module Runs a case. */
/* eslint-disable import-x/extensions -- Node resolves ES modules by their full file name */
import CaseRecord from './CaseRecord.mjs';
import Deployment from './Deployment.mjs';

/** Exits although sockets of stand-ins are still open, which would keep the process running. */
const exit = (code) => {
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
};

const CASE_TIMEOUT_MS = 110_000;

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * `run` gets the deployment and the record, and resolves with the breaks of the rule.
 */
const runCase = async (folder, run) => {
  const record = new CaseRecord();
  const deployment = await Deployment.create();
  let code = 2;
  const cleanups = [];
  const timer = setTimeout(() => {
    record.line('the case took too long');
    record.write(folder).finally(async () => {
      await deployment.close();
      exit(2);
    });
  }, CASE_TIMEOUT_MS);
  try {
    const breaks = await run({ deployment, record, onEnd: (cleanup) => cleanups.push(cleanup) });
    breaks.forEach((text) => record.line(`BROKEN ${text}`));
    record.line(breaks.length === 0 ? 'the rule held' : `${breaks.length} breaks of the rule`);
    code = breaks.length === 0 ? 0 : 1;
  } catch (error) {
    record.line(`the case could not run: ${error.stack ?? error}`);
  }
  clearTimeout(timer);
  await deployment.close();
  cleanups.forEach((cleanup) => cleanup());
  await record.write(folder);
  exit(code);
};

export default runCase;
