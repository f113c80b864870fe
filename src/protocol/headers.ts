/** Names of HTTP headers, in lower case as in Node.js, and types of their values. */

export const HEADER = {
  requestId: 'larklatch-request-id',
  version: 'larklatch-version',
  outcome: 'larklatch-outcome',
  repeatable: 'larklatch-repeatable',
  priority: 'larklatch-priority',
  deadline: 'larklatch-deadline-milliseconds',
  ticket: 'larklatch-ticket',
  idempotencyKey: 'idempotency-key',
  retryAfter: 'retry-after',
  // Used between entries and agents only.
  customer: 'larklatch-customer',
  configuration: 'larklatch-configuration',
  slot: 'larklatch-slot',
  slotEpoch: 'larklatch-slot-epoch',
  slotTicketed: 'larklatch-slot-ticketed',
  incarnation: 'larklatch-incarnation',
  reason: 'larklatch-reason',
  uploadQueue: 'larklatch-upload-queue',
  box: 'larklatch-box',
  inFlight: 'larklatch-in-flight',
  queued: 'larklatch-queued',
} as const;

/** Whether the request was executed, as reported to the caller. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Priority of a request among those of the same customer. */
export type Priority = 'high' | 'normal' | 'low';
