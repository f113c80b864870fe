/** Reasons for which an agent or an entry refuses a request, and the answers that callers get for them. */
import type { Outcome } from '../protocol/headers.js';

/** Reasons, as sent in the `larklatch-reason` header. */
export type RefusalReason =
  | 'leaving'
  | 'not-serving'
  | 'other-version'
  | 'queue-full'
  | 'deadline-too-close'
  | 'not-owner'
  | 'already-started'
  | 'uncertain'
  | 'ledger-full'
  | 'backend-unreachable'
  | 'backend-lost'
  | 'no-backend'
  | 'isolated'
  | 'cancelled';

/** The answer to a refused request. */
export interface Refusal {
  reason: RefusalReason;
  status: number;
  outcome: Outcome;
  retryAfterMilliseconds: number;
}

const DEFAULT_RETRY_AFTER_MILLISECONDS = 500;

const STATUS_BY_REASON: Record<RefusalReason, number> = {
  leaving: 503,
  'not-serving': 503,
  'other-version': 503,
  'queue-full': 429,
  'deadline-too-close': 503,
  'not-owner': 503,
  'already-started': 409,
  uncertain: 409,
  'ledger-full': 429,
  'backend-unreachable': 503,
  'backend-lost': 502,
  'no-backend': 503,
  isolated: 503,
  cancelled: 499,
};

const UNKNOWN_OUTCOME_REASONS: ReadonlySet<RefusalReason> = new Set([
  'already-started',
  'uncertain',
  'backend-lost',
  'cancelled',
]);

/** Builds the refusal for a reason. `outcome` is `unknown` for reasons after which the request may have started. */
export function refusalFor(
  reason: RefusalReason,
  retryAfterMilliseconds = DEFAULT_RETRY_AFTER_MILLISECONDS,
): Refusal {
  const outcome = UNKNOWN_OUTCOME_REASONS.has(reason) ? 'unknown' : 'not-run';
  return { reason, status: STATUS_BY_REASON[reason], outcome, retryAfterMilliseconds };
}
