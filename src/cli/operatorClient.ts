/** Client of the operator API of an entry. */
import { randomUUID } from 'node:crypto';
import type { JsonAnswer } from '../external/httpClient.js';
import { sendJson } from '../external/httpClient.js';
import { CliError } from './cliError.js';
import { EXIT } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

/** A request to the operator API. */
export interface OperatorRequest {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  body?: unknown;
  /** The revision that the object must have, as the user gave it; '0' if it must not exist. */
  ifMatch?: string;
  changeId?: string;
}

const TIMEOUT_MILLISECONDS = 20_000;
const MAX_ATTEMPTS = 4;
const RETRY_PAUSE_MILLISECONDS = 500;

const EXIT_OF_STATUS: Record<number, ExitCode> = {
  401: EXIT.wrongInput,
  404: EXIT.wrongInput,
  412: EXIT.conflict,
  422: EXIT.wrongInput,
  503: EXIT.unavailable,
};

/** Retries requests without an answer or with status 503. All attempts have the same change id. */
export class OperatorClient {
  private readonly _entryUrl: string;
  private readonly _key: string;

  constructor(entryUrl: string, key: string) {
    this._entryUrl = entryUrl;
    this._key = key;
  }

  /** Returns the body of an answer with status 200; throws a CliError otherwise. */
  async send(request: OperatorRequest): Promise<unknown> {
    const changeId = request.changeId ?? randomUUID();
    let answer: JsonAnswer | undefined;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      answer = await this._sendOnce(request, changeId);
      if (answer && answer.status !== 503) break;
      if (attempt < MAX_ATTEMPTS)
        await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MILLISECONDS));
    }
    if (answer?.status === 200) return answer.body;
    throw failure(answer, this._entryUrl, changeId);
  }

  private async _sendOnce(request: OperatorRequest, changeId: string): Promise<JsonAnswer | undefined> {
    const headers: Record<string, string> = {
      authorization: `Bearer ${this._key}`,
      'idempotency-key': changeId,
    };
    if (request.ifMatch === '0') headers['if-none-match'] = '*';
    else if (request.ifMatch) headers['if-match'] = request.ifMatch;
    try {
      return await sendJson({
        step: 'operator.request',
        method: request.method,
        url: `${this._entryUrl}${request.path}`,
        headers,
        body: request.body,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      });
    } catch {
      return undefined;
    }
  }
}

function failure(answer: JsonAnswer | undefined, entryUrl: string, changeId: string): CliError {
  if (!answer) {
    return new CliError(EXIT.unavailable, [
      `no answer from ${entryUrl} after ${MAX_ATTEMPTS} attempts`,
      `try another entry, with --change-id ${changeId}`,
    ]);
  }
  const body = answer.body as { error?: string; advice?: string; problems?: Problem[] } | undefined;
  const lines = [`${answer.status}: ${body?.error ?? 'refused'}`];
  for (const problem of body?.problems ?? []) {
    lines.push(`  ${problem.field}: got ${JSON.stringify(problem.value)}; allowed: ${problem.allowed}`);
  }
  if (body?.advice) lines.push(body.advice);
  if (answer.status === 503) lines.push(`change id: ${changeId}`);
  return new CliError(EXIT_OF_STATUS[answer.status] ?? EXIT.failed, lines);
}

interface Problem {
  field: string;
  value: unknown;
  allowed: string;
}
