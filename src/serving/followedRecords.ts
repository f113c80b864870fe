/** Takes over what the followed records of the platform say: the configuration in force, and the servers there are. */
import type { ConfigurationHolder } from './configurationHolder.js';
import type { PlatformFollowers } from './platformFollowers.js';
import type { ServingPlatform } from './platformRecords.js';
import { supersededServers } from './serverLife.js';
import type { ServerPool } from './serverPool.js';
import type { ServingConfiguration } from './servingConfiguration.js';

/** What the records are taken from, and who takes them. */
export interface FollowedRecordsOptions {
  platform: ServingPlatform;
  followers: PlatformFollowers;
  configuration: ConfigurationHolder;
  pool: ServerPool;
  /** A newer configuration is in force. */
  onConfiguration: (configuration: ServingConfiguration) => void;
  /** Other servers are there, or say something else of themselves. */
  onServers: () => void;
}

export class FollowedRecords {
  private readonly _options: FollowedRecordsOptions;

  constructor(options: FollowedRecordsOptions) {
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
      if (read.isErr()) unreadable.note(reader.kinds.configuration, object, read.error);
      else if (configuration.offer(read.value, 'store')) onConfiguration(read.value);
    }
  }

  private _takeServers(): void {
    const { followers, pool, onServers } = this._options;
    const { servers, decoded, isEchoing } = followers;
    const objects = [...servers.objects.values()];
    const listed = objects.flatMap((object) => {
      const record = decoded.of(object);
      return record ? [{ record, revision: object.revision }] : [];
    });
    const unreadable = objects.filter((object) => !decoded.of(object)).map(({ name }) => name);
    const superseded = supersededServers(listed);
    const records = listed.map(({ record }) => record).filter(({ id }) => !superseded.includes(id));
    pool.update(records, { doubtful: isEchoing, unusable: [...unreadable, ...superseded] });
    onServers();
  }
}
