/** @module Waiting, and repeating something at an interval. */

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Waits until a time of `performance.now()`. */
export const sleepUntil = (atMs) => sleep(Math.max(0, atMs - performance.now()));

/** Calls `action` with 0, 1, 2 ... at an interval, for as long as `isGoingOn()`; returns the results. */
export const repeat = async (intervalMs, isGoingOn, action) => {
  const results = [];
  const next = async () => {
    if (isGoingOn()) {
      results.push(action(results.length));
      await sleep(intervalMs);
      await next();
    }
  };
  await next();
  return Promise.all(results);
};

/** Polls until `condition` resolves with true. */
export const waitFor = async (condition, intervalMs) => {
  if (!(await condition())) {
    await sleep(intervalMs);
    await waitFor(condition, intervalMs);
  }
};
