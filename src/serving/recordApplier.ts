/** Takes over what the followed records of the platform say: the configuration in force, and the servers there are. */
import type { ConfigurationHolder } from './configurationHolder.js';
import type { PlatformFollowers } from './platformFollowers.js';
import type { ServingPlatform } from './platformRecords.js';
import type { ListedServer } from './serverIncarnation.js';
import { supersededServers } from './serverIncarnation.js';
import type { ServerPool } from './serverPool.js';
import type { ServingConfiguration } from './servingConfiguration.js';

/** What the records are taken from, and who takes them. */
export interface RecordApplierOptions {
  platform: ServingPlatform;
  followers: PlatformFollowers;
  configuration: ConfigurationHolder;
  pool: ServerPool;
  /** A newer configuration is in force. */
  onConfiguration: (configuration: ServingConfiguration) => void;
  /** Other servers are there, or say something else of themselves. */
  onServers: () => void;
}

export class RecordApplier {
  private readonly _options: RecordApplierOptions;

  constructor(options: RecordApplierOptions) {
    this._options = options;
    const { followers } = options;
    followers.configuration.on('change', () => this._takeConfiguration());
    followers.servers.on('change', () => this._takeServers());
  }

  /** A configuration that cannot be understood is not taken: the one in force holds. */
  private _takeConfiguration(): void {
    const { platform, followers, configuration, onConfiguration } = this._options;
    const { reader, unreadable } = platform;
    for (const object of followers.configuration.objects.values()) {
      const read = reader.configuration(object.name, object.value);
      const value = unreadable.valueOf(reader.kinds.configuration, object, read);
      if (value && configuration.offer(value, 'store')) onConfiguration(value);
    }
  }

  private _takeServers(): void {
    const { followers, pool, onServers } = this._options;
    const { servers, serverDecoder: decoded, serversMayBeMissing: isEchoing } = followers;
    const listed: ListedServer[] = [];
    const unusable = new Set<string>();
    for (const object of servers.objects.values()) {
      const record = decoded.decode(object);
      if (record) listed.push({ record, revision: object.revision });
      else unusable.add(object.name);
    }
    for (const id of supersededServers(listed)) unusable.add(id);
    const records = listed.map(({ record }) => record).filter(({ id }) => !unusable.has(id));
    pool.update(records, { mayBeIncomplete: isEchoing, unusable });
    onServers();
  }
}
