/** Applies changed platform records: updates the active configuration and the server pool. */
import type { ConfigurationHolder } from './configurationHolder.js';
import type { PlatformFollowers } from './platformFollowers.js';
import type { ServingPlatform } from './platformRecords.js';
import type { ListedServer } from './serverIncarnation.js';
import { supersededServers } from './serverIncarnation.js';
import type { ServerPool } from './serverPool.js';
import type { ServingConfiguration } from './servingConfiguration.js';

export interface RecordApplierOptions {
  platform: ServingPlatform;
  followers: PlatformFollowers;
  configuration: ConfigurationHolder;
  pool: ServerPool;
  /** Called after a newer configuration has become active. */
  onConfiguration: (configuration: ServingConfiguration) => void;
  /** Called after the pool has been updated from the server records. */
  onServers: () => void;
}

export class RecordApplier {
  private readonly _options: RecordApplierOptions;

  constructor(options: RecordApplierOptions) {
    this._options = options;
    const { followers } = options;
    followers.configuration.on('change', () => this._applyConfiguration());
    followers.servers.on('change', () => this._applyServers());
  }

  /** Applies the configuration record; an invalid one is ignored and the active one stays. */
  private _applyConfiguration(): void {
    const { platform, followers, configuration, onConfiguration } = this._options;
    const { reader, unreadable } = platform;
    for (const object of followers.configuration.objects.values()) {
      const read = reader.configuration(object.name, object.value);
      const value = unreadable.unwrapOrReport(reader.kinds.configuration, object, read);
      if (value && configuration.offer(value, 'store')) onConfiguration(value);
    }
  }

  private _applyServers(): void {
    const { followers, pool, onServers } = this._options;
    const { servers, serverDecoder, serversMayBeMissing } = followers;
    const listed: ListedServer[] = [];
    const unusable = new Set<string>();
    for (const object of servers.objects.values()) {
      const record = serverDecoder.decode(object);
      if (record) listed.push({ record, revision: object.revision });
      else unusable.add(object.name);
    }
    for (const id of supersededServers(listed)) unusable.add(id);
    const records = listed.map(({ record }) => record).filter(({ id }) => !unusable.has(id));
    pool.update(records, { mayBeIncomplete: serversMayBeMissing, unusable });
    onServers();
  }
}
