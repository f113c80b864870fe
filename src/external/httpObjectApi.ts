import { z } from 'zod';
import { StepError, errorText } from '../utils/stepError.js';
import type { JsonAnswer } from './httpClient.js';
import { sendJson, wasNeverSent } from './httpClient.js';
import type { ApiChanges, ApiListing, ApiObject, ObjectApi, WriteOutcome } from './objectApi.js';

const objectSchema = z.object({ key: z.string(), revision: z.number(), value: z.unknown() });
const listingSchema = z.object({ revision: z.number(), objects: z.array(objectSchema) });
const changesSchema = z.object({
  revision: z.number(),
  truncated: z.boolean(),
  changes: z.array(objectSchema.extend({ deleted: z.boolean() })),
});
const writtenSchema = z.object({ revision: z.number() });

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const WATCH_WAIT_MILLISECONDS = 20_000;

/** Client of the platform's object API at `baseUrl`. */
export class HttpObjectApi implements ObjectApi {
  private readonly _baseUrl: string;

  constructor(baseUrl: string) {
    this._baseUrl = baseUrl;
  }

  async get(key: string): Promise<ApiObject | undefined> {
    const answer = await this._read(`/objects/${key}`, CALL_TIMEOUT_MILLISECONDS);
    if (answer.status === 404) return undefined;
    return parse(objectSchema, answer, 'objectApi.get');
  }

  async list(): Promise<ApiListing> {
    return parse(listingSchema, await this._read('/objects', CALL_TIMEOUT_MILLISECONDS), 'objectApi.list');
  }

  async watch(revision: number, signal: AbortSignal): Promise<ApiChanges> {
    const path = `/changes?after=${revision}&wait=${WATCH_WAIT_MILLISECONDS}`;
    const answer = await this._read(path, WATCH_WAIT_MILLISECONDS + CALL_TIMEOUT_MILLISECONDS, signal);
    return parse(changesSchema, answer, 'objectApi.watch');
  }

  async put(key: string, value: unknown, expectedRevision: number): Promise<WriteOutcome> {
    return await this._write('PUT', key, expectedRevision, { value });
  }

  async delete(key: string, expectedRevision: number): Promise<WriteOutcome> {
    return await this._write('DELETE', key, expectedRevision);
  }

  private async _read(path: string, timeoutMilliseconds: number, signal?: AbortSignal): Promise<JsonAnswer> {
    const url = `${this._baseUrl}${path}`;
    return await sendJson({ step: 'objectApi.read', method: 'GET', url, timeoutMilliseconds, signal });
  }

  private async _write(
    method: 'PUT' | 'DELETE',
    key: string,
    expectedRevision: number,
    body?: unknown,
  ): Promise<WriteOutcome> {
    try {
      const answer = await sendJson({
        step: 'objectApi.write',
        method,
        url: `${this._baseUrl}/objects/${key}`,
        headers: { 'if-match': String(expectedRevision) },
        body,
        timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      });
      return writeOutcome(answer);
    } catch (error) {
      const reason = errorText(error);
      const neverSent = wasNeverSent(error instanceof StepError ? error.cause : error);
      return neverSent ? { kind: 'refused', reason, limited: false } : { kind: 'unknown', reason };
    }
  }
}

function writeOutcome(answer: JsonAnswer): WriteOutcome {
  if (answer.status === 412) return { kind: 'conflict' };
  if (answer.status === 429) return { kind: 'refused', reason: 'too many writes', limited: true };
  if (answer.status === 503) return { kind: 'refused', reason: 'status 503', limited: false };
  const written = writtenSchema.safeParse(answer.body);
  if (answer.status === 200 && written.success) return { kind: 'written', revision: written.data.revision };
  return { kind: 'unknown', reason: `status ${answer.status}` };
}

function parse<T>(schema: z.ZodType<T>, answer: JsonAnswer, step: string): T {
  if (answer.status !== 200) throw new StepError(step, `status ${answer.status}`, { advice: 'retry-later' });
  const parsed = schema.safeParse(answer.body);
  if (!parsed.success) throw new StepError(step, 'unexpected answer format');
  return parsed.data;
}
