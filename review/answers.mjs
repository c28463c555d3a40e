/** @module Answers of servers. */

/** Header fields of a server's answer. */
export const answerFields = (run) => ({
  'x-ebonysill-attempt-id': run.id,
  'x-ebonysill-response-signature': `sig.${run.server}.${run.id}`,
});

/** Answers with a short body after some time of work. */
export const answerAfter = (workMs) => (run, response) => {
  setTimeout(() => {
    const body = `answer to ${run.id}`;
    response.writeHead(200, { ...answerFields(run), 'content-length': body.length });
    response.end(body);
  }, workMs);
};
