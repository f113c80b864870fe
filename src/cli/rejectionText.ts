/** Explains in words why admission control rejected a request, from the fields of its last log line. Pure functions. */

const TEXT_BY_REASON: Readonly<Record<string, string>> = {
  'all busy': 'all servers were full',
  reserved: 'the free slots were reserved for requests before it',
};

/** The fields of a log line that the explanation depends on. */
export interface RejectionFields {
  noAttempt?: unknown;
  timeliness?: unknown;
  rank?: unknown;
  pressure?: unknown;
}

/** Returns the explanation; undefined for lines that do not tell of a rejection for lack of a slot. */
export function rejectionText(fields: RejectionFields): string | undefined {
  const text = TEXT_BY_REASON[String(fields.noAttempt)];
  if (text === undefined || fields.timeliness === undefined) return undefined;
  const timeliness =
    fields.timeliness === 'late'
      ? 'could no longer meet its objective, counted from the first attempt'
      : 'could still meet its objective';
  const fill = typeof fields.pressure === 'number' ? `; mean fill ${Math.round(fields.pressure * 100)}%` : '';
  return `${text}; the request (rank ${String(fields.rank)}) ${timeliness}${fill}`;
}
