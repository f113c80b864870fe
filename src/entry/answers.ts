/** Refusals and errors that an entry itself sends to callers and operators. */
import type http from 'node:http';
import type { FieldProblem } from '../configuration/resolveSpecification.js';
import { HEADER } from '../protocol/headers.js';
import type { BodyError } from '../limits/requestBody.js';
import type { Refusal } from '../requests/refusals.js';
import type { Random } from '../utils/random.js';
import { answerJson } from '../utils/httpBody.js';

/** Body of an error that doesn't come from a backend server. */
export interface ErrorBody {
  error: string;
  /** What the caller should do next. */
  advice: string;
  problems?: FieldProblem[];
}

/** Jitter of `retry-after`, as a share of its value. */
const RETRY_SPREAD = 0.5;

/** Refuses a request and says when to retry, with jitter so that the callers don't all retry at the same time. */
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

/** Sends an error that the caller can correct. Nothing has run. */
export function answerError(response: http.ServerResponse, status: number, body: ErrorBody): void {
  answerJson(response, status, body, { [HEADER.outcome]: 'not-run' });
}

/** Answers a request whose body could not be read. Nothing has run. */
export function answerBodyError(response: http.ServerResponse, { problem, message }: BodyError): void {
  if (problem !== 'no-memory')
    return answerError(response, 413, { error: message, advice: 'send a smaller body' });
  response.setHeader(HEADER.retryAfter, '1');
  answerError(response, 503, { error: message, advice: 'use another entry, or retry after Retry-After' });
}

/** Rejects a request with invalid fields. */
export function answerProblems(response: http.ServerResponse, problems: FieldProblem[]): void {
  const first = problems[0];
  const error = `${first.field}: got ${JSON.stringify(first.value)}; allowed: ${first.allowed}`;
  answerError(response, 422, {
    error,
    advice: 'correct the named fields and send the request again',
    problems,
  });
}

function adviceFor(refusal: Refusal): string {
  if (refusal.outcome === 'not-run') return 'the request did not run; send it again after Retry-After';
  return 'the request may have run; send it again only with the same Idempotency-Key';
}
