/** Answers of an entry that are not a backend server's own. */
import type http from 'node:http';
import type { FieldProblem } from '../configuration/resolveSpecification.js';
import { HEADER } from '../protocol/headers.js';
import type { Refusal } from '../requests/refusals.js';
import type { Random } from '../utils/random.js';
import { answerJson } from '../utils/httpBody.js';

/** The body of every error that larklatch itself answers. */
export interface ErrorBody {
  error: string;
  /** What to do next. */
  advice: string;
  problems?: FieldProblem[];
}

/** How far the moments at which refused callers are told to come back are spread. */
const RETRY_SPREAD = 0.5;

/** Refuses a caller at once, and says when to come back: not all at the same moment. */
export function answerRefusal(
  response: http.ServerResponse,
  refusal: Refusal,
  requestId: string,
  random: Random,
): void {
  const milliseconds = Math.ceil(refusal.retryAfterMilliseconds * (1 + random.fraction() * RETRY_SPREAD));
  const body = {
    error: refusal.reason,
    advice: adviceFor(refusal),
    outcome: refusal.outcome,
    requestId,
    retryAfterMilliseconds: milliseconds,
  };
  answerJson(response, refusal.status, body, {
    [HEADER.requestId]: requestId,
    [HEADER.outcome]: refusal.outcome,
    [HEADER.retryAfter]: String(Math.ceil(milliseconds / 1000)),
  });
}

/** Answers an error that the asker can mend. */
export function answerError(response: http.ServerResponse, status: number, body: ErrorBody): void {
  answerJson(response, status, body, { [HEADER.outcome]: 'not-run' });
}

/** Answers a request with wrong fields. */
export function answerProblems(response: http.ServerResponse, problems: FieldProblem[]): void {
  const first = problems[0];
  const error = `${first.field}: got ${JSON.stringify(first.value)}; allowed: ${first.allowed}`;
  answerError(response, 422, { error, advice: 'mend the named fields and send it again', problems });
}

function adviceFor(refusal: Refusal): string {
  if (refusal.outcome === 'not-run') return 'nothing ran; send it again after Retry-After';
  return 'it may have run; send it again only with the same Idempotency-Key';
}
