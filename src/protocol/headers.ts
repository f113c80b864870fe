/** HTTP header names, in the lower case that Node uses, and what they may hold. */

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
  // between entry and agent
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

/** What a caller may conclude from an answer. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Urgency of one request among those of the same customer. */
export type Priority = 'high' | 'normal' | 'low';
