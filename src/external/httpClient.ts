/** Client for JSON over HTTP, used for the platform and backend servers. */
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';
import { BoundedBody, MAX_JSON_BYTES } from './boundedBody.js';
import { answerConnector } from '../utils/answerConnector.js';
import { StepError, errorCode, errorText } from '../utils/stepError.js';
import { parseJson } from '../utils/json.js';
import { TimeLimit } from '../utils/timeLimit.js';

/** A request and its time limit. */
export interface JsonRequest {
  step: string;
  method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  url: string;
  body?: unknown;
  headers?: Record<string, string>;
  timeoutMilliseconds: number;
  signal?: AbortSignal;
  /** Connection pool to use; by default one shared by all calls. */
  dispatcher?: Dispatcher;
}

/** The parsed answer. `body` is undefined if it is empty or not JSON. */
export interface JsonAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: unknown;
}

const sharedDispatcher = new Agent({
  connections: 32,
  pipelining: 1,
  keepAliveTimeout: 10_000,
  connect: answerConnector(),
});

/** Error codes that prove that the request was never sent. */
const NEVER_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENOTFOUND',
]);

/** Whether `error` proves that the request was never sent. */
export function wasNeverSent(error: unknown): boolean {
  return NEVER_SENT.has(errorCode(error)) || NEVER_SENT.has(errorCode((error as Error | undefined)?.cause));
}

/** Closes the connection of an answer that is not read. Its body then fails, for which nobody else listens. */
export function discardBody(body: Readable): void {
  body.on('error', () => undefined).destroy();
}

/** Sends a JSON request. Throws a StepError if there is no answer; an answer with any status is returned. */
export async function sendJson(options: JsonRequest): Promise<JsonAnswer> {
  const limit = new TimeLimit(options.timeoutMilliseconds, options.signal);
  try {
    const answer = await request(options.url, {
      method: options.method,
      headers: { 'content-type': 'application/json', ...options.headers },
      body: options.body === undefined ? undefined : JSON.stringify(options.body),
      dispatcher: options.dispatcher ?? sharedDispatcher,
      signal: limit.signal,
    });
    const body = new BoundedBody(options.step, MAX_JSON_BYTES);
    // Leaving the loop early closes the connection.
    for await (const part of answer.body as AsyncIterable<Buffer>) body.push(part);
    return { status: answer.statusCode, headers: answer.headers, body: parseJson(body.bytes()) };
  } catch (error) {
    throw new StepError(options.step, errorText(error), { peer: new URL(options.url).host, cause: error });
  } finally {
    limit.end();
  }
}
