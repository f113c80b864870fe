import type { SignalNames } from '../backpressure/answerSignals.js';

/** Names of the request and answer headers exchanged with callers and backend servers. All in lower case. */
export interface HeaderNames extends SignalNames {
  requestId: string;
  deadline: string;
  lastEventId: string;
  /** On a request: id of the backend server process it is meant for. */
  expectedServer: string;
  /** On a request to a backend server: name of the customer. */
  customer: string;
  /** On an answer: states that the request has not run. */
  notRun: string;
  /** On an answer: proof that a backend server ran the request. */
  seal: string;
  priority: string;
  expectedVersion: string;
  version: string;
  model: string;
  /** On a request: number of prompt tokens and maximum number of output tokens, separated by a comma. */
  tokens: string;
  /** On a request: the parts of its prompt in order, each as `id:tokens`, separated by commas. */
  promptParts: string;
}

/** Header names of the product's own API. */
export const OWN_HEADER_NAMES: HeaderNames = {
  requestId: 'larklatch-request-id',
  deadline: 'larklatch-deadline-milliseconds',
  lastEventId: 'last-event-id',
  expectedServer: 'larklatch-expected-server',
  customer: 'larklatch-customer',
  notRun: 'larklatch-not-run',
  seal: 'larklatch-seal',
  priority: 'larklatch-priority',
  expectedVersion: 'larklatch-expected-version',
  version: 'larklatch-version',
  model: 'larklatch-model',
  tokens: 'larklatch-tokens',
  promptParts: 'larklatch-prompt-parts',
  serverLimit: 'larklatch-requests-per-second',
  serverLeaving: 'larklatch-leaving',
  serverCold: 'larklatch-cold-milliseconds',
  retryAfter: 'retry-after',
};
