/** Maps API keys to customers. */
import type { Replica } from '../configuration/replica.js';
import { customerSchema } from '../configuration/template.js';
import { withoutChangeId } from '../rollout/specifications.js';
import { sha256Hex } from '../utils/hash.js';

/** Indexed by the digests of the API keys. The keys themselves are not stored. */
export class CustomerDirectory {
  private readonly _replica: Replica;
  private _customers: Map<string, string> | undefined;

  constructor(replica: Replica) {
    this._replica = replica;
    replica.on('change', (record) => {
      if (record.key.startsWith('customer/')) this._customers = undefined;
    });
  }

  /** Returns the name of the customer; undefined for an unknown key. */
  customerOf(apiKey: string): string | undefined {
    if (apiKey === '') return undefined;
    this._customers ??= this._build();
    return this._customers.get(sha256Hex(apiKey));
  }

  private _build(): Map<string, string> {
    const customers = new Map<string, string>();
    for (const record of this._replica.recordsOf('customer')) {
      const parsed = customerSchema.safeParse(withoutChangeId(record.value));
      if (record.deleted || !parsed.success) continue;
      for (const digest of parsed.data.keyDigests)
        customers.set(digest, record.key.slice('customer/'.length));
    }
    return customers;
  }
}
