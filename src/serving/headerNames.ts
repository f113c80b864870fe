import type { SignalNames } from '../backpressure/answerSignals.js';

/** The names that request and answer headers have towards callers and backend servers. All in lower case. */
export interface HeaderNames extends SignalNames {
  requestId: string;
  deadline: string;
  lastEventId: string;
  /** Which life of a backend server a request is meant for. */
  expectedServer: string;
  /** The customer, as told to backend servers. */
  customer: string;
  /** On an answer: the request has not run. */
  notRun: string;
  /** On an answer: proof of the backend server that ran the request. */
  seal: string;
  priority: string;
  expectedVersion: string;
  version: string;
  model: string;
  /** Tokens of the prompt, and the most that may come out, separated by a comma. */
  tokens: string;
}

/** Names of the product's own interface. */
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
  serverLimit: 'larklatch-requests-per-second',
  serverLeaving: 'larklatch-leaving',
  retryAfter: 'retry-after',
};
