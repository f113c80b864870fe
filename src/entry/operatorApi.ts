/** HTTP API for operators. See docs/OPERATIONS.md. */
import type http from 'node:http';
import { randomUUID } from 'node:crypto';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';
import type { ChangeHandler, ChangeRefusal } from '../configuration/changeHandler.js';
import { configurationKey, customerKey, templateKey } from '../configuration/recordKeys.js';
import type { Replica } from '../configuration/replica.js';
import type { FieldProblem } from '../configuration/resolveSpecification.js';
import { problemsOf, resolveSpecification } from '../configuration/resolveSpecification.js';
import { configurationSchema, customerSchema, templateSchema } from '../configuration/template.js';
import type { MemoryShare } from '../limits/memoryBudget.js';
import { readBody } from '../limits/requestBody.js';
import { sameMac } from '../protocol/authentication.js';
import { HEADER } from '../protocol/headers.js';
import { nameSchema } from '../protocol/index.js';
import type { Specifications } from '../rollout/specifications.js';
import { withoutChangeId } from '../rollout/specifications.js';
import { answerJson, bearerToken, headerText } from '../utils/httpBody.js';
import { answerError, answerProblems } from './answers.js';
import type { RolloutStatusReader } from './rolloutStatusReader.js';
import { parseJson } from '../utils/json.js';

export interface OperatorApiOptions {
  operatorKey: string;
  replica: Replica;
  changes: ChangeHandler;
  specifications: Specifications;
  statusReader: RolloutStatusReader;
}

/** An object that operators can read and write. */
interface Target {
  key: string;
  check: (value: unknown) => Result<object, FieldProblem[]>;
}

const MAXIMUM_BODY_BYTES = 900_000;
const KINDS: readonly string[] = ['templates', 'configurations', 'customers', 'rollouts'];

/** Every path requires the operator key. */
export class OperatorApi {
  private readonly _options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this._options = options;
  }

  /** Answers a request under `/v1/`. Returns false if the path is not part of this API. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    url: URL,
    memory: MemoryShare,
  ): Promise<boolean> {
    const [, , kind, ...names] = url.pathname.split('/').map(decodeURIComponent);
    if (!KINDS.includes(kind)) return false;
    if (!sameMac(bearerToken(request), this._options.operatorKey)) {
      answerError(response, 401, {
        error: 'unknown operator key',
        advice: 'send Authorization: Bearer with the key',
      });
    } else if (kind === 'rollouts') {
      await this._answerRollouts(response, names);
    } else if (names.length === 0 && request.method === 'GET') {
      this._answerList(response, kind);
    } else {
      await this._answerObject(request, response, kind, names, memory);
    }
    return true;
  }

  private async _answerRollouts(
    response: http.ServerResponse,
    [customer, configuration]: string[],
  ): Promise<void> {
    const { statusReader, specifications } = this._options;
    if (!customer) {
      const all = await Promise.all(specifications.all().map((wanted) => statusReader.status(wanted.name)));
      return answerJson(response, 200, { rollouts: all.filter((status) => status !== undefined) });
    }
    const status = await statusReader.status({ customer, configuration });
    if (status) answerJson(response, 200, status);
    else
      answerError(response, 404, {
        error: 'no such configuration',
        advice: 'list them with GET /v1/configurations',
      });
  }

  private _answerList(response: http.ServerResponse, kind: string): void {
    const records = this._options.replica.recordsOf(kind.slice(0, -1)).filter((record) => !record.deleted);
    const items = records.map(({ key, revision, value }) => ({
      key,
      revision,
      value: withoutChangeId(value),
    }));
    answerJson(response, 200, { items });
  }

  private async _answerObject(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    kind: string,
    names: string[],
    memory: MemoryShare,
  ): Promise<void> {
    const badName = names.find((name) => !nameSchema.safeParse(name).success);
    const target = badName === undefined ? this._target(kind, names) : undefined;
    if (!target) {
      const problem = {
        field: 'path',
        value: badName ?? names.join('/'),
        allowed: 'names of a-z, 0-9 and -',
      };
      return answerProblems(response, [problem]);
    }
    if (request.method === 'GET') return this._get(response, target.key);
    if (request.method === 'PUT') return await this._put(request, response, target, memory);
    if (request.method === 'DELETE') return await this._change(request, response, target.key, undefined);
    answerError(response, 405, { error: 'no such method', advice: 'use GET, PUT or DELETE' });
  }

  private _target(kind: string, names: string[]): Target | undefined {
    const [first, second] = names;
    if (kind === 'templates' && names.length === 1) {
      return { key: templateKey(first), check: (value) => this._checkTemplate(first, value) };
    }
    if (kind === 'customers' && names.length === 1) {
      return { key: customerKey(first), check: (value) => validate(customerSchema, value) };
    }
    if (kind === 'configurations' && names.length === 2) {
      const key = configurationKey('configuration', { customer: first, configuration: second });
      return { key, check: (value) => this._checkConfiguration(value) };
    }
    return undefined;
  }

  private _checkConfiguration(value: unknown): Result<object, FieldProblem[]> {
    const resolved = this._options.specifications.resolve(value);
    return resolved.isErr() ? err(resolved.error) : validate(configurationSchema, value);
  }

  /** Rejects a template with which any configuration based on it would no longer resolve. */
  private _checkTemplate(name: string, value: unknown): Result<object, FieldProblem[]> {
    const template = validate(templateSchema, value);
    if (template.isErr()) return template;
    for (const record of this._options.replica.recordsOf('configuration')) {
      const configuration = configurationSchema.safeParse(withoutChangeId(record.value));
      if (record.deleted || !configuration.success || configuration.data.template !== name) continue;
      const resolved = resolveSpecification(template.value, configuration.data);
      if (resolved.isErr()) {
        return err(
          resolved.error.map((problem) => ({ ...problem, field: `${record.key}: ${problem.field}` })),
        );
      }
    }
    return template;
  }

  private _get(response: http.ServerResponse, key: string): void {
    const record = this._options.replica.record(key);
    if (!record || record.deleted) {
      return answerError(response, 404, { error: `no ${key}`, advice: 'check the name' });
    }
    answerJson(response, 200, withoutChangeId(record.value), { etag: `"${record.revision}"` });
  }

  private async _put(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    target: Target,
    memory: MemoryShare,
  ): Promise<void> {
    const text = (await readBody(request, { bytes: MAXIMUM_BODY_BYTES }, memory)).toString();
    const value = parseJson(text);
    if (value === undefined) {
      return answerProblems(response, [
        { field: 'body', value: text.slice(0, 100), allowed: 'a JSON object' },
      ]);
    }
    const checkedValue = target.check(value);
    if (checkedValue.isErr()) return answerProblems(response, checkedValue.error);
    await this._change(request, response, target.key, checkedValue.value);
  }

  private async _change(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    key: string,
    value: object | undefined,
  ): Promise<void> {
    const match = headerText(request.headers, 'if-match').replaceAll('"', '');
    const mustNotExist = headerText(request.headers, 'if-none-match') === '*';
    const expectedRevision = match === '' ? undefined : Number(match);
    const changed = await this._options.changes.change({
      key,
      value,
      expectedRevision: mustNotExist ? 0 : expectedRevision,
      changeId: headerText(request.headers, HEADER.idempotencyKey) || randomUUID(),
    });
    if (changed.isErr()) return answerChangeRefusal(response, changed.error);
    const { revision } = changed.value.record;
    answerJson(response, 200, { key, revision }, { etag: `"${revision}"` });
  }
}

function validate<T>(schema: z.ZodType<T>, value: unknown): Result<T, FieldProblem[]> {
  const parsed = schema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(problemsOf(parsed.error, value));
}

function answerChangeRefusal(response: http.ServerResponse, refusal: ChangeRefusal): void {
  const retry = { [HEADER.retryAfter]: '1' };
  switch (refusal.kind) {
    case 'invalid':
      return answerProblems(response, refusal.problems);
    case 'not-found':
      return answerError(response, 404, { error: 'no such object', advice: 'check the name' });
    case 'conflict': {
      const body = {
        error: 'the object was changed since the expected revision',
        advice: 'read the object again and repeat the change',
      };
      return answerJson(response, 412, { ...body, currentRevision: refusal.currentRevision });
    }
    case 'unavailable': {
      const advice = 'nothing was changed; retry after Retry-After';
      return answerJson(response, 503, { error: `object API: ${refusal.reason}`, advice }, retry);
    }
    case 'unresolved': {
      const advice = 'the change may have been stored; send it again with the same Idempotency-Key';
      return answerJson(response, 503, { error: refusal.reason, advice }, retry);
    }
  }
}
