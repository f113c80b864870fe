/** A caller's request, and validation of the headers that control how it runs. */
import type http from 'node:http';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { ConfigurationName } from '../configuration/recordKeys.js';
import type { FieldProblem } from '../configuration/resolveSpecification.js';
import { HEADER } from '../protocol/headers.js';
import type { Priority } from '../protocol/headers.js';

/** Options that the caller sets in headers. */
export interface CallerOptions {
  /** Whether the request may run again when it is unknown whether it has run. */
  repeatable: boolean;
  /** The caller's idempotency key, '' for none. */
  idempotencyKey: string;
  priority: Priority;
  /** Milliseconds from arrival; undefined for no deadline. */
  deadlineMilliseconds: number | undefined;
}

/** A validated request to be routed to a box. */
export interface CallerRequest extends CallerOptions {
  id: string;
  name: ConfigurationName;
  method: string;
  /** Path and query to request from the backend server. */
  path: string;
  contentType: string;
  body: Buffer;
  /** Hash key of customer and prompt prefix, '' for none. */
  affinity: string;
  arrivedAt: number;
}

const MAX_DEADLINE_MILLISECONDS = 3_600_000;
const DEADLINE_FORMAT = 'whole milliseconds from 1 to 3600000';

const callerOptionsSchema = z.object({
  [HEADER.repeatable]: z.enum(['yes', 'no'], 'yes or no').optional(),
  [HEADER.idempotencyKey]: z.string().max(200, 'at most 200 characters').default(''),
  [HEADER.priority]: z.enum(['high', 'normal', 'low'], 'high, normal or low').default('normal'),
  [HEADER.deadline]: z.coerce
    .number(DEADLINE_FORMAT)
    .int(DEADLINE_FORMAT)
    .min(1, DEADLINE_FORMAT)
    .max(MAX_DEADLINE_MILLISECONDS, DEADLINE_FORMAT)
    .optional(),
});

/** Validates the headers that a caller may set. Without `Larklatch-Repeatable`, `defaultRepeatable` applies. */
export function parseCallerOptions(
  headers: http.IncomingHttpHeaders,
  defaultRepeatable: boolean,
): Result<CallerOptions, FieldProblem[]> {
  const parsed = callerOptionsSchema.safeParse(headers);
  if (!parsed.success) {
    return err(
      parsed.error.issues.map((issue) => {
        const field = String(issue.path[0]);
        return { field, value: headers[field] ?? null, allowed: issue.message };
      }),
    );
  }
  const options = parsed.data;
  const repeatable = options[HEADER.repeatable];
  return ok({
    repeatable: repeatable === undefined ? defaultRepeatable : repeatable === 'yes',
    idempotencyKey: options[HEADER.idempotencyKey],
    priority: options[HEADER.priority],
    deadlineMilliseconds: options[HEADER.deadline],
  });
}
