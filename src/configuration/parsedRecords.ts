/** Values of replicated records in typed form, parsed once per revision. */
import type { Replica } from './replica.js';

/** Parses on first use and again when the record has changed. */
export class ParsedRecords<T> {
  private readonly _replica: Replica;
  private readonly _parse: (value: unknown) => T | undefined;
  private readonly _parsed = new Map<string, { revision: number; value: T | undefined }>();

  constructor(replica: Replica, parse: (value: unknown) => T | undefined) {
    this._replica = replica;
    this._parse = parse;
  }

  /** The value of `key`; undefined when there is none or it does not parse. */
  get(key: string): T | undefined {
    const record = this._replica.record(key);
    if (!record || record.deleted) return undefined;
    const known = this._parsed.get(key);
    if (known?.revision === record.revision) return known.value;
    const value = this._parse(record.value);
    this._parsed.set(key, { revision: record.revision, value });
    return value;
  }
}
