/** A caller's request after its headers have been checked. */
import type http from 'node:http';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { ConfigurationName } from '../configuration/recordKeys.js';
import type { FieldProblem } from '../configuration/resolveSpecification.js';
import { HEADER } from '../protocol/headers.js';
import type { Priority } from '../protocol/headers.js';

/** What the caller wants, apart from the body. */
export interface CallerOptions {
  /** May the system run it again when it cannot tell whether it ran? */
  repeatable: boolean;
  /** The caller's own key, or ''. */
  idempotencyKey: string;
  priority: Priority;
  /** Milliseconds from arrival; undefined for none. */
  deadlineMilliseconds: number | undefined;
}

/** A request on its way to a box. */
export interface CallerRequest extends CallerOptions {
  id: string;
  name: ConfigurationName;
  method: string;
  /** Path and query at the backend server. */
  path: string;
  contentType: string;
  body: Buffer;
  /** Hash key of customer and prompt prefix, or ''. */
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

/** Reads the headers that a caller may set; without `Larklatch-Repeatable` the `standard` holds. */
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
