/** A cache of parsed record values. */
import type { Replica } from './replica.js';

/** Parses the value of a record on first use, and again when its revision has changed. */
export class ParsedRecords<T> {
  private readonly _replica: Replica;
  private readonly _parse: (value: unknown) => T | undefined;
  private readonly _parsed = new Map<string, { revision: number; value: T | undefined }>();

  constructor(replica: Replica, parse: (value: unknown) => T | undefined) {
    this._replica = replica;
    this._parse = parse;
  }

  /** Returns the parsed value of `key`; undefined when it does not exist or does not parse. */
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
