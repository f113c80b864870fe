/** Names of the promises that a soak checks, and reports of broken ones. */

export type PromiseName =
  | 'answer' // every caller gets the complete answer to its own request
  | 'order' // a stream delivers each event once and in order, and one that was cut looks cut
  | 'once' // a request that must not be repeated runs at most once
  | 'not-run' // a refused request has not run
  | 'asked' // servers run only requests that a caller sent
  | 'whole' // no server is ordered to load an incomplete version, and no request runs on one
  | 'version' // no request starts on an older version after the version deadline
  | 'configuration' // a configuration is in force within the time bound and is not reverted
  | 'draining' // a draining server gets no new requests
  | 'limit' // a server gets no more requests than the limit that it announced
  | 'cold' // a cold server gets no more requests than it handles
  | 'retry-after' // an entry obeys the Retry-After of a server
  | 'home' // a request with home regions runs only there
  | 'evacuated' // a request is not sent to an evacuated data centre
  | 'crashing' // a request that crashes every server is no longer sent to servers
  | 'planned' // planned operations fail no request
  | 'leaving' // a leaving entry ends what it takes, takes what can end in time, and rejects the rest at once
  | 'limits' // an entry stays within the memory and the descriptors of its settings
  | 'crowded' // callers get answers beside crowds of other clients
  | 'ends' // no process exits unexpectedly
  | 'recovery'; // requests are served again after the last fault

/** A broken promise, with a description for the report. */
export interface Breach {
  promise: PromiseName;
  what: string;
}

/** Called for each broken promise. */
export type BreachListener = (promise: PromiseName, what: string) => void;
